/**
 * Stand-in of the platform's weight store, and the client with which engines load from it.
 */
package org.agatehatch.standins.weights;
