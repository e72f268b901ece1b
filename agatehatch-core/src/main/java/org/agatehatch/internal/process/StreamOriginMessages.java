package org.agatehatch.internal.process;

import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.request.StreamOrigins.Origin;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages by which a node asks others where a stream began, and at which versions it can have begun. */
public final class StreamOriginMessages {
    /** Message type of a question. */
    public static final String QUESTION_TYPE = "stream_origin_wanted";
    /** Message type of the answer. */
    public static final String ANSWER_TYPE = "stream_origin";

    /** Message type of a {@link VersionQuestion}. */
    public static final String VERSION_QUESTION_TYPE = "only_version_wanted";
    /** Message type of the answer to a {@link VersionQuestion}. */
    public static final String VERSION_ANSWER_TYPE = "only_version";

    /** Message type of a {@link ProcessQuestion}. */
    public static final String PROCESS_QUESTION_TYPE = "server_process_wanted";
    /** Message type of the answer to a {@link ProcessQuestion}. */
    public static final String PROCESS_ANSWER_TYPE = "server_process";

    /** Asks for the process of a server, as of the question. */
    public record ProcessQuestion(String service, String serverId) {}

    /**
     * The process that a server's entry names.
     *
     * @param startedAtMillis as in the entry
     */
    public record ServerProcess(long startedAtMillis, String softwareVersion) {}

    /** Asks for the only software version that a service has had for a span of time until the question. */
    public record VersionQuestion(String service, long spanMillis) {}

    private StreamOriginMessages() {}

    /** Encodes a question for a service's only version. */
    public static PeerMessage encode(VersionQuestion question) {
        return new PeerMessage(
                VERSION_QUESTION_TYPE,
                MessagePackValues.encode(Map.of("s", question.service(), "t", question.spanMillis())));
    }

    /** Decodes a question for a service's only version. */
    public static VersionQuestion decodeVersionQuestion(PeerMessage message) {
        Fields fields = fields(message);
        return new VersionQuestion(fields.text("s"), fields.integer("t"));
    }

    /** Encodes a service's only version; empty if there were several, or the node has not observed it for long enough. */
    public static PeerMessage encodeVersion(Optional<String> version) {
        return new PeerMessage(
                VERSION_ANSWER_TYPE,
                MessagePackValues.encode(Map.of("k", version.isPresent(), "v", version.orElse(""))));
    }

    /** Decodes a service's only version. */
    public static Optional<String> decodeVersion(PeerMessage message) {
        Fields fields = fields(message);
        return fields.flag("k") ? Optional.of(fields.text("v")) : Optional.empty();
    }

    /** Encodes a question for the process of a server. */
    public static PeerMessage encode(ProcessQuestion question) {
        return new PeerMessage(
                PROCESS_QUESTION_TYPE,
                MessagePackValues.encode(Map.of("s", question.service(), "i", question.serverId())));
    }

    /** Decodes a question for the process of a server. */
    public static ProcessQuestion decodeProcessQuestion(PeerMessage message) {
        Fields fields = fields(message);
        return new ProcessQuestion(fields.text("s"), fields.text("i"));
    }

    /** Encodes the process of a server; empty if the node knows no entry that is recent enough. */
    public static PeerMessage encodeProcess(Optional<ServerProcess> process) {
        return new PeerMessage(
                PROCESS_ANSWER_TYPE,
                MessagePackValues.encode(Map.of(
                        "k",
                        process.isPresent(),
                        "b",
                        process.map(ServerProcess::startedAtMillis).orElse(0L),
                        "v",
                        process.map(ServerProcess::softwareVersion).orElse(""))));
    }

    /** Decodes the process of a server. */
    public static Optional<ServerProcess> decodeProcess(PeerMessage message) {
        Fields fields = fields(message);
        return fields.flag("k")
                ? Optional.of(new ServerProcess(fields.integer("b"), fields.text("v")))
                : Optional.empty();
    }

    /** Encodes the question for the origin of the stream that a caller's attempt began. */
    public static PeerMessage encodeQuestion(String attemptId) {
        return new PeerMessage(QUESTION_TYPE, MessagePackValues.encode(Map.of("a", attemptId)));
    }

    /** Returns the attempt that a question is about. */
    public static String decodeQuestion(PeerMessage message) {
        return fields(message).text("a");
    }

    /** Encodes an answer, which is empty if the node does not know the stream. */
    public static PeerMessage encodeAnswer(Optional<Origin> origin) {
        return new PeerMessage(
                ANSWER_TYPE,
                MessagePackValues.encode(Map.of(
                        "k",
                        origin.isPresent(),
                        "s",
                        origin.map(Origin::service).orElse(""),
                        "v",
                        origin.map(Origin::softwareVersion).orElse(""))));
    }

    /** Decodes an answer. */
    public static Optional<Origin> decodeAnswer(PeerMessage message) {
        Fields fields = fields(message);
        return fields.flag("k") ? Optional.of(new Origin(fields.text("s"), fields.text("v"))) : Optional.empty();
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
