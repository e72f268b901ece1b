package org.agatehatch.internal.process;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Eight nodes with detectors that exchange evidence in random pairs, six servers, and requests of which some hold a part that
 * crashes servers. Servers crash for other reasons too, and nodes restart without their evidence. {@code
 * -Dagatehatch.crashSeeds=N} plays seeds 1 to N.
 */
public final class CrashingPartSimulationTest {
    private static final int NODES = 8;
    private static final int SERVERS = 6;
    private static final int FIRST_PARTS = 3;
    private static final int SECOND_PARTS = 40;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CRASHING_FROM_MILLIS = 10_000;
    private static final long LENGTH_MILLIS = 60_000;
    private static final long GOSSIP_MILLIS = 200;
    private static final int FAN_OUT = 3;
    private static final int CRASHES_UNTIL_CONTAINED = 5;
    private static final int MAX_SENDS_AFTERWARDS = 3;
    private static final int SEEDS = Integer.getInteger("agatehatch.crashSeeds", 20);

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {(long) i + 1};
        }
        return seeds;
    }

    // Guards against a crashing part that goes on, and against sound requests that are refused along with it.
    @Test(dataProvider = "seeds")
    public void a_crashing_second_part_is_contained_and_sound_requests_are_served(long seed) {
        Simulation played = new Simulation(seed, "f0", "bad", true);
        played.run();
        check(played, seed);
    }

    @Test(dataProvider = "seeds")
    public void a_crashing_first_part_is_contained_and_sound_requests_are_served(long seed) {
        Simulation played = new Simulation(seed, "bad", "", true);
        played.run();
        check(played, seed);
    }

    // Guards against a verdict that comes late for a part that was sound before, or takes its neighbours along.
    @Test(dataProvider = "seeds")
    public void a_popular_part_that_turns_bad_is_contained_and_sound_requests_are_served(long seed) {
        Simulation played = new Simulation(seed, "f0", "s0", true);
        played.run();
        check(played, seed);
    }

    // Guards against verdicts without a crashing part, while servers crash for other reasons.
    @Test(dataProvider = "seeds")
    public void nothing_stays_refused_without_a_crashing_part(long seed) {
        Simulation played = new Simulation(seed, "f0", "", false);
        played.run();
        Reporter.log("seed=" + seed + " " + played.figures(), true);
        assertTrue(played.refusedShare(0) < 0.5, played.figures());
    }

    private static void check(Simulation played, long seed) {
        Reporter.log("seed=" + seed + " " + played.figures(), true);
        assertTrue(played.sentAfterwards() <= MAX_SENDS_AFTERWARDS, played.figures());
        assertTrue(played.refusedShare(played.containedMillis() + 2 * CONTACT_MILLIS) < 0.5, played.figures());
    }

    private static final class Server {
        private final int index;
        private int start = 1;
        private boolean up = true;
        private final List<Request> inFlight = new ArrayList<>();

        private Server(int index) {
            this.index = index;
        }

        private ServerEntry entry() {
            PeerAddress address = new PeerAddress("10.0.0." + index, 80);
            return new ServerEntry("s" + index, "svc", address, "d", 8, false, start, "v1", List.of(), Set.of());
        }
    }

    private static final class Request {
        private final int node;
        private final List<String> parts;
        private final boolean crashing;
        private long begunMillis = -1;
        private boolean survived;

        private Request(int node, List<String> parts, boolean crashing) {
            this.node = node;
            this.parts = parts;
            this.crashing = crashing;
        }
    }

    private record Sound(long atMillis, boolean refused) {}

    private static final class Simulation {
        private final VirtualTime time = new VirtualTime();
        private final Random random;
        private final String firstPart;
        private final String badPart;
        private final boolean crashes;
        private final List<CrashingPartDetector> nodes = new ArrayList<>();
        private final List<Long> startMillisByNode = new ArrayList<>();
        private final List<Server> servers = new ArrayList<>();
        private final List<Long> crashMillis = new ArrayList<>();
        private final List<Long> crashingSentMillis = new ArrayList<>();
        private final List<Sound> sound = new ArrayList<>();
        private final Set<String> everQuarantined = new HashSet<>();

        private Simulation(long seed, String firstPart, String badPart, boolean crashes) {
            this.random = new Random(seed);
            this.firstPart = firstPart;
            this.badPart = badPart;
            this.crashes = crashes;
        }

        private void run() {
            for (int i = 0; i < NODES; i++) {
                nodes.add(newNode(i));
                startMillisByNode.add(-CONTACT_MILLIS);
            }
            for (int i = 0; i < SERVERS; i++) {
                servers.add(new Server(i));
            }
            repeat(30, 0, this::sendSound);
            repeat(4, CRASHING_FROM_MILLIS, () -> {
                if (crashes) {
                    String second = badPart.isEmpty() ? "s" + random.nextInt(SECOND_PARTS) : badPart;
                    send(List.of(firstPart, second));
                }
            });
            repeat(0.15, 0, () -> crash(servers.get(random.nextInt(SERVERS)), false));
            repeat(0.05, 0, () -> restart(random.nextInt(NODES)));
            repeat(1_000.0 / GOSSIP_MILLIS, 0, this::gossip);
            time.advance(LENGTH_MILLIS);
        }

        private void restart(int node) {
            nodes.set(node, newNode(node));
            startMillisByNode.set(node, time.millis());
        }

        private CrashingPartDetector newNode(int node) {
            return new CrashingPartDetector(
                    time, part -> Math.floorMod(part.hashCode(), NODES) == node, new CrashingPartDetector.Listener() {
                        @Override
                        public void onQuarantine(String part, Set<String> processes) {
                            everQuarantined.add(part);
                        }

                        @Override
                        public void onRelease(String part) {}
                    });
        }

        private void repeat(double perSecond, long fromMillis, Runnable action) {
            long pauseMillis = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
            time.runAfter(fromMillis + pauseMillis, () -> {
                action.run();
                repeat(perSecond, 0, action);
            });
        }

        private void sendSound() {
            String first =
                    badPart.isEmpty() ? "f" + random.nextInt(FIRST_PARTS) : random.nextInt(2) == 0 ? firstPart : "f1";
            send(List.of(first, "s" + random.nextInt(SECOND_PARTS)));
        }

        private void send(List<String> parts) {
            boolean crashing = crashes
                    && time.millis() >= CRASHING_FROM_MILLIS
                    && parts.contains(badPart.isEmpty() ? firstPart : badPart);
            int node = random.nextInt(NODES);
            boolean refused = nodes.get(node).blockingPart(parts).isPresent();
            if (!crashing) {
                sound.add(new Sound(time.millis(), refused));
            }
            List<Server> up = servers.stream().filter(server -> server.up).toList();
            if (refused || up.isEmpty()) {
                return;
            }
            Server server = up.get(random.nextInt(up.size()));
            Request request = new Request(node, parts, crashing);
            server.inFlight.add(request);
            if (crashing && time.millis() - startMillisByNode.get(node) >= CONTACT_MILLIS) {
                crashingSentMillis.add(time.millis());
            }
            int start = server.start;
            long waitMillis = 50 + random.nextInt(500);
            time.runAfter(waitMillis, ifRunning(server, start, () -> begin(server, request)));
        }

        private void begin(Server server, Request request) {
            int start = server.start;
            if (request.crashing) {
                time.runAfter(30, ifRunning(server, start, () -> crash(server, true)));
                return;
            }
            request.begunMillis = time.millis() + 25;
            time.runAfter(25 + CrashingPartDetector.SURVIVAL_MILLIS, ifRunning(server, start, () -> {
                request.survived = true;
                nodes.get(request.node).answerSurvived(request.parts, request.begunMillis);
            }));
            time.runAfter(300 + random.nextInt(2_000), ifRunning(server, start, () -> server.inFlight.remove(request)));
        }

        private static Runnable ifRunning(Server server, int start, Runnable action) {
            return () -> {
                if (server.up && server.start == start) {
                    action.run();
                }
            };
        }

        private void crash(Server server, boolean byPart) {
            if (!server.up) {
                return;
            }
            if (byPart) {
                crashMillis.add(time.millis());
            }
            server.up = false;
            ServerEntry entry = server.entry();
            for (Request request : server.inFlight) {
                CrashingPartDetector node = nodes.get(request.node);
                node.connectionBroken(
                        request.survived ? List.of() : request.parts,
                        entry.processKey(),
                        entry.address().toString());
                time.runAfter(5 + random.nextInt(20), () -> node.processDied(entry.processKey()));
            }
            server.inFlight.clear();
            time.runAfter(2_000 + random.nextInt(2_000), () -> {
                server.start++;
                server.up = true;
            });
        }

        private void gossip() {
            for (int from = 0; from < NODES; from++) {
                if (nodes.get(from).sinceChangeMillis() < 1_000) {
                    for (int i = 0; i < FAN_OUT; i++) {
                        exchange(nodes.get(from), detector -> detector.recentEvidence(CONTACT_MILLIS));
                    }
                }
                if (random.nextInt(5) == 0) {
                    exchange(nodes.get(from), CrashingPartDetector::evidence);
                }
            }
        }

        private void exchange(CrashingPartDetector one, Function<CrashingPartDetector, CrashEvidence> content) {
            CrashingPartDetector other = nodes.get(random.nextInt(NODES));
            CrashEvidence sent = content.apply(one);
            time.runAfter(5 + random.nextInt(20), () -> {
                CrashEvidence reply = content.apply(other);
                other.merge(sent);
                time.runAfter(5, () -> one.merge(reply));
            });
        }

        /** Time from which on the part must be kept from servers: the fifth crash, or the last if there are fewer. */
        private long containedMillis() {
            return crashMillis.isEmpty()
                    ? 0
                    : crashMillis.get(Math.min(crashMillis.size(), CRASHES_UNTIL_CONTAINED) - 1);
        }

        private long sentAfterwards() {
            return crashingSentMillis.stream()
                    .filter(atMillis -> crashMillis.size() >= CRASHES_UNTIL_CONTAINED
                            && atMillis > containedMillis() + CONTACT_MILLIS)
                    .count();
        }

        private double refusedShare(long fromMillis) {
            List<Sound> after = sound.stream()
                    .filter(request -> request.atMillis() >= fromMillis)
                    .toList();
            return after.stream().filter(Sound::refused).count() / (double) Math.max(1, after.size());
        }

        private String figures() {
            return "crashes=" + crashMillis.size() + " sent_afterwards=" + sentAfterwards() + " sound=" + sound.size()
                    + " sound_refused=" + sound.stream().filter(Sound::refused).count() + " quarantined="
                    + everQuarantined;
        }
    }
}
