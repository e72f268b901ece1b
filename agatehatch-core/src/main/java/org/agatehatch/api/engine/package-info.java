/**
 * Orders to model engines, and the inventory and load that engines report.
 */
package org.agatehatch.api.engine;
