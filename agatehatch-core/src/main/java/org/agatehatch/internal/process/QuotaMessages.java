package org.agatehatch.internal.process;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages between a node and the quota keeper. */
public final class QuotaMessages {
    /** Message type of a {@link Question}. */
    public static final String QUESTION_TYPE = "quota_wanted";
    /** Message type of the reply to a {@link Question}. */
    public static final String GRANT_TYPE = "quota_granted";

    /** Bounds the work for one question. */
    public static final int MAX_COSTS = 64;

    /** Bounds the work for one question. */
    public static final int MAX_PARTS = 1_024;

    private QuotaMessages() {}

    /**
     * Asks for tokens of one or several teams, and tells what the node has of them.
     *
     * @param node member name of the asking node
     * @param id rises with each question of the node
     * @param epoch highest epoch of a keeper that the node has seen; 0 if none
     */
    public record Question(String node, long id, long epoch, List<Part> parts) {
        public Question {
            parts = List.copyOf(parts);
            if (parts.size() > MAX_PARTS) {
                throw new IllegalArgumentException("a question names " + parts.size() + " teams");
            }
        }
    }

    /**
     * What a node asks for, and has, of one team's quota.
     *
     * @param costs tokens of waiting requests, in order
     * @param prefetch tokens wanted for requests to come
     * @param returned tokens that were granted and not used
     * @param unbacked tokens of requests that were admitted without a grant since the last answer of the keeper of this epoch
     * @param share tokens per second that the node may admit without a keeper
     * @param totalShares sum of such shares of all nodes when the node was told its own
     */
    public record Part(
            String team,
            List<Long> costs,
            double prefetch,
            double returned,
            double unbacked,
            double share,
            double totalShares) {
        public Part {
            costs = List.copyOf(costs);
            if (costs.size() > MAX_COSTS || costs.stream().anyMatch(cost -> cost < 0)) {
                throw new IllegalArgumentException("a question has an invalid list of costs: " + costs);
            }
            checkAmounts(prefetch, returned, unbacked, share, totalShares);
        }
    }

    /**
     * Answers a question.
     *
     * @param epoch token of the lease under which the keeper acts
     */
    public record Grant(long epoch, List<Answer> answers) {
        public Grant {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The answer on one team.
     *
     * @param granted number of requests that were granted, from the first one on
     * @param prefetch tokens granted for requests to come
     * @param retryAfterMillis time until the first request that was not granted would fit; 0 if all were granted
     * @param use used part of the limit, 0 to 1
     * @param share tokens per second that the node may admit without a keeper from now on
     * @param totalShares sum of such shares of all nodes
     */
    public record Answer(
            String team,
            int granted,
            double prefetch,
            long retryAfterMillis,
            double use,
            double share,
            double totalShares) {
        public Answer {
            if (granted < 0 || retryAfterMillis < 0) {
                throw new IllegalArgumentException(
                        "an answer grants " + granted + " requests and names " + retryAfterMillis + " ms");
            }
            checkAmounts(prefetch, use, share, totalShares);
        }
    }

    private static void checkAmounts(double... amounts) {
        for (double amount : amounts) {
            if (!(amount >= 0) || Double.isInfinite(amount)) {
                throw new IllegalArgumentException("an amount of tokens is " + amount);
            }
        }
    }

    /** Encodes a question. */
    public static PeerMessage encode(Question question) {
        List<Map<String, Object>> parts = question.parts().stream()
                .map(part -> Map.<String, Object>of(
                        "t", part.team(),
                        "c", part.costs(),
                        "p", part.prefetch(),
                        "r", part.returned(),
                        "u", part.unbacked(),
                        "s", part.share(),
                        "a", part.totalShares()))
                .toList();
        return message(
                QUESTION_TYPE, Map.of("n", question.node(), "i", question.id(), "e", question.epoch(), "q", parts));
    }

    /** Decodes a question. */
    public static Question decodeQuestion(PeerMessage message) {
        Fields fields = fields(message);
        List<Part> parts = fields.maps("q").stream()
                .map(part -> new Part(
                        part.text("t"),
                        part.list("c", Long.class),
                        part.number("p"),
                        part.number("r"),
                        part.number("u"),
                        part.number("s"),
                        part.number("a")))
                .toList();
        return new Question(fields.text("n"), fields.integer("i"), fields.integer("e"), parts);
    }

    /** Encodes the answer to a question. */
    public static PeerMessage encode(Grant grant) {
        List<Map<String, Object>> answers = grant.answers().stream()
                .map(answer -> Map.<String, Object>of(
                        "t", answer.team(),
                        "g", answer.granted(),
                        "p", answer.prefetch(),
                        "w", answer.retryAfterMillis(),
                        "u", answer.use(),
                        "s", answer.share(),
                        "a", answer.totalShares()))
                .toList();
        return message(GRANT_TYPE, Map.of("e", grant.epoch(), "g", answers));
    }

    /** Decodes the answer to a question. */
    public static Grant decodeGrant(PeerMessage message) {
        Fields fields = fields(message);
        List<Answer> answers = fields.maps("g").stream()
                .map(answer -> new Answer(
                        answer.text("t"),
                        answer.int32("g"),
                        answer.number("p"),
                        answer.integer("w"),
                        answer.number("u"),
                        answer.number("s"),
                        answer.number("a")))
                .toList();
        return new Grant(fields.integer("e"), answers);
    }

    private static PeerMessage message(String type, Map<String, Object> body) {
        return new PeerMessage(type, MessagePackValues.encode(body));
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
