/** HTTP connections of callers and to backend servers. */
package org.agatehatch.gateway.connection;
