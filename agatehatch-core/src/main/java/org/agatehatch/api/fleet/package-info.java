/**
 * The routes, services and backend servers that an operator publishes as one versioned configuration, and the interfaces
 * to the platform that runs them.
 */
package org.agatehatch.api.fleet;
