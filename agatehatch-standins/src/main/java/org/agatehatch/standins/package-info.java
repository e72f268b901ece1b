/**
 * Stand-ins of the platform: log, weight store, VM list, model engine and plain service, over HTTP.
 */
package org.agatehatch.standins;
