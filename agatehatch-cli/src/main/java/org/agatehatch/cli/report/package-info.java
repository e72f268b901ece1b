/** Commands that show the state of the deployment, and the drain of a backend server. */
package org.agatehatch.cli.report;
