/** Open-loop load generator that checks every answer against the text of the engine stand-in. */
package org.agatehatch.cli.load;
