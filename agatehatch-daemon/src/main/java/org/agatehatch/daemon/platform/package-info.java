/**
 * Adapters to the platform over HTTP: the append-only log, model engines and the VM list.
 */
package org.agatehatch.daemon.platform;
