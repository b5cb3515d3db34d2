package dunlinladder.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.RequestRouter;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every command of the state machine that follows the list, in order, and when it wants to be woken, against a
 * discovery that does anything in virtual time; held against a digest. Whoever changes its form and not what it does
 * sees here that all stayed.
 *
 * <p>A digest is of the number of commands and of a canonical text, which {@link #text} and {@link #step} alone write,
 * so that new names leave it as it is.
 */
class GoldenWatchTraceTest {

    private static final int STEPS = 6000;
    private static final List<String> ADDRESSES = List.of("a:1", "b:1", "c:1");

    private record Due(double at, long number, WatchEvent event) {}

    private final StringBuilder trace = new StringBuilder();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
    private Random random;
    private WatchStateMachine state;
    private double now;
    private long number;
    private long version;
    private int commands;

    @ParameterizedTest
    @CsvSource({
        "asked, " + "2852:c84d4f752b3074bfe070b06371f3655c407b06210d49d405325e94cf78aaa796",
        "pushed, " + "3019:35cd1798d8dbab5a45b27df2f3923e0ee9684c5a41d467702f2ae99db5767ece",
        "hurried, " + "2937:50878a152d40ee80d732320e42ea4a208ee3f0150bacb10a22edc680ceae5fdd",
        "slack, " + "3018:63bbd9a5d21085556b1cbebbac84616687cebe1a73c7804a56b68dca8ac2b99c",
        "patient, " + "2828:9a446225e59586503c85615a497dc9e6b4d911c3063b8e94c410cf5ce7c60400",
        "two, " + "2402:4e965b18a9b9882e6ba34ac6eb242df3d7e10667f65b8367391a08934c20d134"
    })
    void followsAsBefore(String timing, String expected) {
        assertEquals(expected, digest(timing));
    }

    String digest(String timing) {
        for (long seed = 1; seed <= 2; seed++) {
            play(timing(timing), seed);
        }
        return commands + ":" + sha256(trace.toString());
    }

    private static WatchTimeouts timing(String name) {
        return switch (name) {
            case "asked" -> WatchTimeouts.of(false, 0.5);
            case "pushed" -> WatchTimeouts.of(true, 0.5);
            case "hurried" -> WatchTimeouts.of(true, 0.05);
            case "slack" -> WatchTimeouts.of(true, 3);
            case "patient" ->
                new WatchTimeouts(
                        new WatchTimeouts.Connect(0.3, 2, 3),
                        new WatchTimeouts.Answer(1, 3),
                        new WatchTimeouts.Silence(2.5, 0.5),
                        new Backoff(0.2, 4),
                        10,
                        false);
            default ->
                new WatchTimeouts(
                        new WatchTimeouts.Connect(0.2, 1, 2),
                        new WatchTimeouts.Answer(0.4, 1),
                        new WatchTimeouts.Silence(1.5, 0),
                        new Backoff(0.1, 0.8),
                        3,
                        true);
        };
    }

    /** The canonical text of a command; the digests hold as long as this writes the same. */
    private static String text(WatchCommand command) {
        if (command instanceof WatchCommand.Open open) {
            return "open|" + open.connection() + "|" + open.address() + "|" + open.since();
        } else if (command instanceof WatchCommand.Close close) {
            return "close|" + close.connection();
        }
        WatchCommand.Apply take = (WatchCommand.Apply) command;
        return "take|" + take.update().version() + "|" + take.update().isSnapshot() + "|" + take.previousVersion();
    }

    /** The canonical text of a step: when it is over, and when the next one is wanted. */
    private void step(double wake) {
        trace.append(Double.toHexString(now))
                .append('|')
                .append(Double.toHexString(wake))
                .append('\n');
    }

    private static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void play(WatchTimeouts timing, long seed) {
        random = new Random(seed);
        state = WatchStateMachine.initial(timing, seed == 1 ? 0 : 41, seed);
        version = 41;
        now = 0;
        queue.clear();
        on(new WatchEvent.Tick());
        in(0.5, new WatchEvent.AddressChanged("a:1"));
        for (double at = 9; at < 3000; at += 2 + 20 * random.nextDouble()) {
            in(at, new WatchEvent.AddressChanged(ADDRESSES.get(random.nextInt(ADDRESSES.size()))));
        }
        for (int i = 0; i < STEPS; i++) {
            double wake = Math.max(now + 1e-6, state.nextDeadline());
            Due due = !queue.isEmpty() && queue.peek().at <= wake ? queue.poll() : null;
            now = Math.max(now, due == null ? wake : due.at);
            on(due == null ? new WatchEvent.Tick() : due.event);
        }
    }

    private void in(double delay, WatchEvent event) {
        queue.add(new Due(now + delay, number++, event));
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    private void on(WatchEvent event) {
        WatchOutcome next = state.on(event, now);
        state = next.state();
        List<WatchEvent> after = new ArrayList<>();
        for (WatchCommand command : next.commands()) {
            commands++;
            trace.append(text(command)).append('\n');
            if (command instanceof WatchCommand.Open open) {
                called(open.connection(), open.since());
            } else if (command instanceof WatchCommand.Apply take && chance(0.04)) {
                after.add(new WatchEvent.UpdateNotApplied(take.previousVersion()));
            }
        }
        step(state.nextDeadline());
        after.forEach(this::on);
    }

    /** What becomes of a call: refused, never up, never answered, late, or a watch with all its faults. */
    private void called(int link, long since) {
        boolean outage = now % 100 > 80;
        int fate = random.nextInt(outage ? 5 : 12);
        if (fate == 0) {
            in(0.001, new WatchEvent.Closed(link));
        } else if (fate == 1) {
            in(random.nextDouble(), new WatchEvent.Connected(link));
        } else if (fate == 2) {
            in(0.002, new WatchEvent.Connected(link));
            in(random.nextDouble() * 8, new WatchEvent.Closed(link));
        } else if (fate > 3) {
            in(0.003, new WatchEvent.Connected(link));
            watch(link, since, random.nextDouble() * (fate == 4 ? 7 : 0.3));
        }
        // Else it never comes up.
    }

    private void watch(int link, long since, double delay) {
        in(delay, new WatchEvent.AnswerReceived(link));
        double at = delay + random.nextDouble() * 0.1;
        double lasts = delay + random.nextDouble() * 40;
        if (since == 0 || chance(0.1)) {
            in(at, new WatchEvent.UpdateReceived(link, news(true)));
        }
        while (at < lasts) {
            if (chance(0.02)) {
                in(at, new WatchEvent.UnreadableUpdate(link));
            }
            in(
                    at,
                    chance(0.5)
                            ? new WatchEvent.Heartbeat(link)
                            : new WatchEvent.UpdateReceived(link, news(chance(0.15))));
            at += chance(0.05) ? 4 : 0.2 + 2 * random.nextDouble();
        }
        if (chance(0.7)) {
            in(lasts, new WatchEvent.Closed(link));
        }
        // Else it falls silent.
    }

    /** News of what is now, of what was, or of a discovery that counts anew. */
    private EndpointUpdate news(boolean whole) {
        if (chance(0.01)) {
            version = 1 + random.nextInt(5);
        }
        version += random.nextInt(3);
        long told = chance(0.1) ? Math.max(1, version - random.nextInt(4)) : version;
        RequestRouter.Scope scope = !whole
                ? RequestRouter.Scope.CHANGES
                : chance(0.2) ? RequestRouter.Scope.CACHED : RequestRouter.Scope.COMPLETE;
        return new EndpointUpdate(told, scope, List.of());
    }
}
