/**
 * Assembles a node from the coordination library and the adapters of this module.
 */
package org.agatehatch.daemon.wiring;
