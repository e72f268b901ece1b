/**
 * Links between nodes: TCP with length-prefixed, authenticated MessagePack frames.
 */
package org.agatehatch.daemon.links;
