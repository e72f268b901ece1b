package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.request.ClaimAnswer;
import org.agatehatch.internal.request.ClaimScope;
import org.agatehatch.internal.request.IdempotencyKey;
import org.testng.annotations.Test;

/**
 * Guards against claims that stay in doubt because no writer answered, and against a claim that gets a second id when it
 * is sent to another writer.
 */
public class ClaimClientTest {
    private static final ClaimScope SCOPE = ClaimScope.of("almaty", "order-desk", new IdempotencyKey("k"));

    private final VirtualTime time = new VirtualTime();
    private final List<PeerMessage> sentMessages = new ArrayList<>();
    private final List<String> sentAddresses = new ArrayList<>();

    private ClaimClient client(Function<Integer, CompletionStage<PeerMessage>> replyByNumber) {
        sentMessages.clear();
        sentAddresses.clear();
        PeerTransport peers = new PeerTransport() {
            @Override
            public void send(String nodeAddress, PeerMessage message) {
                throw new UnsupportedOperationException("the claim client only sends requests that expect an answer");
            }

            @Override
            public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
                sentMessages.add(message);
                sentAddresses.add(nodeAddress);
                return replyByNumber.apply(sentMessages.size());
            }
        };
        return new ClaimClient(
                new ClaimClient.Claimant("self", "i1"),
                4,
                () -> List.of("n1", "n2", "n3", "n4"),
                new ClaimEndpoint(4, partition -> {
                    throw new IllegalStateException("this node must not create a claim writer");
                }),
                peers,
                time,
                new Random(2),
                Runnable::run);
    }

    private ClaimAnswer claim(ClaimClient client) {
        return client.claim(SCOPE, 7, time.millis() + 5_000)
                .toCompletableFuture()
                .getNow(null);
    }

    private static CompletionStage<PeerMessage> answer(ClaimAnswer answer) {
        return CompletableFuture.completedFuture(ClaimMessages.encodeAnswer(answer));
    }

    private static CompletionStage<PeerMessage> linkFailure() {
        return CompletableFuture.failedFuture(new IllegalStateException("the peer link broke"));
    }

    @Test
    public void a_claim_is_retried_at_another_writer_under_the_same_id() {
        ClaimClient client = client(number -> number == 1
                ? linkFailure()
                : answer(new ClaimAnswer.Granted(
                        ClaimMessages.decodeClaim(sentMessages.get(0)).payload().claimId(), 0)));
        ClaimAnswer.Granted granted = (ClaimAnswer.Granted) claim(client);
        assertEquals(ClaimMessages.decodeClaim(sentMessages.get(1)).payload().claimId(), granted.claimId());
        assertEquals(granted.sentAtMillis(), time.millis());
        assertEquals(sentAddresses.stream().distinct().count(), 2);
    }

    @Test
    public void an_unanswered_claim_is_abandoned_and_the_abandonment_is_retried_until_confirmed() {
        ClaimClient client = client(number -> number <= 4
                ? linkFailure()
                : CompletableFuture.completedFuture(ClaimMessages.encodeResolutionAnswer(true)));
        assertTrue(((ClaimAnswer.Unavailable) claim(client)).inDoubt());
        assertEquals(sentMessages.size(), 4, "three claims and an abandonment");
        assertEquals(client.unconfirmedResolutions(), 1);
        client.tick();
        assertEquals(sentMessages.size(), 4, "the abandonment is not sent again before the retry interval has passed");
        time.advance(1_000);
        client.tick();
        assertEquals(client.unconfirmedResolutions(), 0);
        ClaimRecord.Abandoned abandonment = (ClaimRecord.Abandoned)
                ClaimMessages.decodeResolution(sentMessages.get(4)).payload().get(0);
        assertEquals(
                abandonment.claimId(),
                ClaimMessages.decodeClaim(sentMessages.get(0)).payload().claimId());
    }

    @Test
    public void a_grant_for_another_claim_id_is_rejected() {
        ClaimClient client = client(number -> number <= 3
                ? answer(new ClaimAnswer.Granted("somebody else's", 0))
                : CompletableFuture.completedFuture(ClaimMessages.encodeResolutionAnswer(true)));
        assertTrue(claim(client) instanceof ClaimAnswer.Unavailable);
    }

    @Test
    public void a_refusal_of_a_claim_that_was_never_appended_sends_no_abandonment() {
        ClaimClient client = client(number -> answer(new ClaimAnswer.Unavailable(1_000, "log down", false)));
        assertTrue(claim(client) instanceof ClaimAnswer.Unavailable);
        assertEquals(sentMessages.size(), 1);
        assertEquals(client.unconfirmedResolutions(), 0);
    }
}
