/**
 * Experiments that run the decision code against engine models under virtual time.
 */
package org.agatehatch.experiment;
