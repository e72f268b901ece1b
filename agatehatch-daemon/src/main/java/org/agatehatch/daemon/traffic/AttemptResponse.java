package org.agatehatch.daemon.traffic;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;

/**
 * The response to one attempt, whose frames may still be arriving.
 *
 * @param status HTTP status
 * @param runnerEpoch epoch of the engine process that responds; empty if the backend server sends none
 */
public record AttemptResponse(
        int status, String contentType, String runnerEpoch, Source<ResponseFrame, NotUsed> frames) {}
