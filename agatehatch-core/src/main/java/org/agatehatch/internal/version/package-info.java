/**
 * State derived from the log, identified by a catalogue version or a log offset.
 */
package org.agatehatch.internal.version;
