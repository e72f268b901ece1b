/** Log configuration of a node. */
package org.agatehatch.gateway.logging;
