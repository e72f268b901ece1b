/**
 * Routing of request attempts to backend servers, and admission control.
 */
package org.agatehatch.api.routing;
