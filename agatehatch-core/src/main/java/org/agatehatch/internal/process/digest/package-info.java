/**
 * Soft state that nodes gossip over a constant number of links: membership, runner load, usage and strikes.
 */
package org.agatehatch.internal.process.digest;
