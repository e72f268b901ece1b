/**
 * Messages between nodes.
 */
package org.agatehatch.api.peer;
