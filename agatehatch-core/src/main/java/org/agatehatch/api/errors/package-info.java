/**
 * Errors with stable codes, the processing step and peer at which they occurred, and the outcome of the request.
 */
package org.agatehatch.api.errors;
