/**
 * State with the lifetime of a connection to a peer or a backend server.
 */
package org.agatehatch.internal.connection;
