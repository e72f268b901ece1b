/**
 * Placement: which runners keep which models resident.
 */
package org.agatehatch.api.placement;
