/** Tables and JSON for operators and scripts. */
package org.agatehatch.cli.output;
