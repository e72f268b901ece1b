/**
 * The catalogue: classes, owners, pools, backend servers, models and plain services.
 */
package org.agatehatch.api.catalogue;
