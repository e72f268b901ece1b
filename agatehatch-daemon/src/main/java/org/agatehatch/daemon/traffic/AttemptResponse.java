package org.agatehatch.daemon.traffic;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;

/**
 * The answer to one attempt, whose frames are still arriving.
 *
 * @param status HTTP status
 * @param runnerEpoch engine process that answers; empty if the backend server names none
 */
public record AttemptResponse(int status, String contentType, String runnerEpoch, Source<ResponseFrame, NotUsed> frames) {}
