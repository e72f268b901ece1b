/** Client of the operators' HTTP interface of entry nodes. */
package org.agatehatch.cli.node;
