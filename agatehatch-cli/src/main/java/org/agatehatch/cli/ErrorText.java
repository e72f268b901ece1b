package org.agatehatch.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;

/** Renders an error for operators or for scripts. */
final class ErrorText {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ErrorText() {}

    static String of(AgatehatchException error, ExitCode exitCode, boolean json) {
        if (json) {
            ObjectNode root = JSON.createObjectNode();
            root.putObject("error")
                    .put("message", error.getMessage())
                    .put("code", error.code().wireName())
                    .put("step", error.step())
                    .put("peer", error.peer())
                    .put("outcome", error.outcome().wireName())
                    .put("exit_code", exitCode.number());
            return root.toString();
        }
        if (error.code() == ErrorCode.INVALID_SETTING) {
            return "error: " + error.getMessage();
        }
        return "error: " + error.getMessage() + System.lineSeparator() + "  code: "
                + error.code().wireName() + ", step: " + error.step() + ", peer: " + error.peer() + ", outcome: "
                + error.outcome().wireName();
    }
}
