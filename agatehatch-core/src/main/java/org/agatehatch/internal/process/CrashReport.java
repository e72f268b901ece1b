package org.agatehatch.internal.process;

/**
 * Reports that a request was in flight on a backend server when the server's process died. Reports of the same death that
 * arrive over different paths are equal.
 *
 * @param fingerprint hash of the entry and the request body
 * @param backendServer name of the backend server
 * @param runnerEpoch identity of the process that died
 */
public record CrashReport(long fingerprint, String backendServer, String runnerEpoch) {}
