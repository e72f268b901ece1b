/**
 * State that lives as long as the process, such as the replicated state, leases, claims and node membership.
 */
package org.agatehatch.internal.process;
