/** Components that live as long as the process, and their wiring. */
package org.agatehatch.gateway.process;
