/** Commands that read, check and change the catalogue. */
package org.agatehatch.cli.catalogue;
