/**
 * Admission, routing, retries and idempotency of requests.
 *
 * <p>A caller is the client that sent a request to this node. An attempt is one dispatch of the request to a backend
 * server.
 */
package org.agatehatch.internal.request;
