/** Forwards callers' requests to backend servers over HTTP/1.1, independently of any platform's header and field names. */
package org.agatehatch.gateway;
