/** Operators' command line: the program, its exit codes and the interface that commands implement. */
package org.agatehatch.cli;
