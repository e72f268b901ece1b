package org.agatehatch.internal.process;

/**
 * Timing of the group membership.
 *
 * @param renewalIntervalMillis maximum pause between renewals
 * @param timeToLiveMillis time after which the group drops a member that has not renewed
 * @param safetyMarginMillis time before the end of the time to live from which a member considers its own membership
 *     invalid, to allow for delays of a renewal on the network
 */
public record MembershipSettings(long renewalIntervalMillis, long timeToLiveMillis, long safetyMarginMillis) {}
