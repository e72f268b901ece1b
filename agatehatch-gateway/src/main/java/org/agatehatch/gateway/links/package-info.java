/** Connections between nodes: length-prefixed MessagePack frames over TCP. */
package org.agatehatch.gateway.links;
