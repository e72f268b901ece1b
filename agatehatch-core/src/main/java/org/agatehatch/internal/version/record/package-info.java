/**
 * Typed log records and their MessagePack encoding.
 */
package org.agatehatch.internal.version.record;
