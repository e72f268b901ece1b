package org.agatehatch.internal.process;

/**
 * Times of the group membership, in milliseconds.
 *
 * @param renewalIntervalMillis pause between renewals
 * @param timeToLiveMillis time after which a member that has not renewed is dropped
 * @param safetyMarginMillis part of that time in which a holder no longer acts, for renewals that were late on their way
 */
public record MembershipSettings(long renewalIntervalMillis, long timeToLiveMillis, long safetyMarginMillis) {}
