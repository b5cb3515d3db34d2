package dunlinladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * How a gateway follows the engine list, as a pure function of state, event and time: which links to discovery are
 * open, which news is taken in and in which order, and when to try again. It does no I/O; whoever drives it carries out
 * the {@link WatchCommand}s and reports the {@link WatchEvent}s.
 *
 * <p>What it guards against:
 *
 * <ul>
 *   <li>A move to another address while news is on its way: the old link is listened to until the new one has been
 *       heard.
 *   <li>An address that hangs: a second link is tried beside one whose connection does not come up, the first to answer
 *       stays. One that is connected waits for its turn: a second call would lengthen the queue. Where an older link
 *       has fallen silent, or was left behind by a move, news may be missed meanwhile: there a call that is not
 *       answered soon gets another one beside it. So it does after a move that no older link survived, and always where
 *       discovery is an agent on this machine.
 *   <li>An outage: a call that was not answered in time stays open until the next one is opened, so that what discovery
 *       says at its return finds a call that waits for it.
 *   <li>Discovery that is overbooked, and all gateways that start at once and ask again in step: there is one call at a
 *       time, and pauses are drawn from a range that doubles with each call in a row that was not answered (capped
 *       exponential backoff with full jitter).
 *   <li>News of two links that overtakes itself: what is not newer than what was taken in is left aside, as each entry
 *       says an engine's whole state and an older one would undo a drain.
 *   <li>News that could not be read or taken in: the version does not move past it, and the whole list is asked for.
 *   <li>Discovery that begins to count anew: lists that stay behind for long are asked for from their beginning and
 *       then taken whatever their version is.
 * </ul>
 *
 * @param address where discovery is
 * @param version of the last news taken in
 * @param whole whether the next link asks for the whole list
 * @param links the links that are open, oldest first
 * @param nextId the number of the next link
 * @param retryAt clock time before which no link replaces one that ended
 * @param failed links in a row that ended without an answer
 * @param moved whether the address has changed and the new one has said nothing yet
 * @param random state of the random numbers
 */
public record WatchStateMachine(
        WatchTimeouts timing,
        String address,
        long version,
        boolean whole,
        List<Link> links,
        int nextId,
        double retryAt,
        int failed,
        boolean moved,
        long random) {

    /** Doublings after which the pause is at its bound whatever the figures are. */
    private static final int DOUBLINGS_MOST = 20;

    /**
     * One connection to discovery.
     *
     * @param asked the version that it asked to go on from; 0 for the whole list
     * @param up whether its connection is up
     * @param answered whether its answer has begun
     * @param at clock time of its opening, and of the last thing heard once it has answered
     * @param patience seconds of silence, once it has answered, after which another link is tried
     * @param spoken whether a line or a beat has come
     * @param behindAt clock time since which its lists are older than what is held, NaN where they are not
     * @param overdue whether it was not answered in time; it ends when the next one is opened
     */
    public record Link(
            int id,
            String address,
            long asked,
            boolean up,
            boolean answered,
            double at,
            double patience,
            boolean spoken,
            double behindAt,
            boolean overdue) {

        private Link connected() {
            return new Link(id, address, asked, true, answered, at, patience, spoken, behindAt, overdue);
        }

        private Link heard(double now, boolean line) {
            return new Link(id, address, asked, true, true, now, patience, spoken || line, behindAt, false);
        }

        private Link behind(double now) {
            return new Link(
                    id,
                    address,
                    asked,
                    up,
                    answered,
                    at,
                    patience,
                    spoken,
                    Double.isNaN(behindAt) ? now : behindAt,
                    overdue);
        }

        private Link level() {
            return new Link(id, address, asked, up, answered, at, patience, spoken, Double.NaN, overdue);
        }

        private Link late() {
            return new Link(id, address, asked, up, answered, at, patience, spoken, behindAt, true);
        }

        /** Clock time at which it is given up unless it has answered. */
        private double until(WatchTimeouts timing) {
            return answered || overdue
                    ? Double.POSITIVE_INFINITY
                    : at + (up ? timing.answerSeconds() : timing.openSeconds());
        }
    }

    /** Copies the links, so that a state never changes. */
    public WatchStateMachine {
        links = List.copyOf(links);
    }

    /** The state before the first event, holding the list of {@code version}; 0 for none. */
    public static WatchStateMachine from(WatchTimeouts timing, long version, long seed) {
        return new WatchStateMachine(timing, null, version, false, List.of(), 0, 0, 0, false, seed);
    }

    /** The state after {@code event} at clock time {@code now}, in seconds. */
    public WatchOutcome on(WatchEvent event, double now) {
        Step step = new Step(this, now);
        if (event instanceof WatchEvent.AddressChanged move) {
            step.move(move.address());
        } else if (event instanceof WatchEvent.Connected connected) {
            step.connected(connected.connection());
        } else if (event instanceof WatchEvent.AnswerReceived answered) {
            step.heard(answered.connection(), false);
        } else if (event instanceof WatchEvent.Heartbeat beat) {
            step.heard(beat.connection(), true);
        } else if (event instanceof WatchEvent.UpdateReceived received) {
            step.told(received.connection(), received.update());
        } else if (event instanceof WatchEvent.UnreadableUpdate unreadable) {
            step.unreadable(unreadable.connection());
        } else if (event instanceof WatchEvent.UpdateNotApplied failed) {
            step.notTaken(failed.previousVersion());
        } else if (event instanceof WatchEvent.Closed ended) {
            step.ended(ended.connection());
        }
        step.look();
        return step.next();
    }

    /** Clock time of the next {@link WatchEvent.Tick} that would do something; infinite when none would. */
    public double nextDeadline() {
        double wake = address == null ? Double.POSITIVE_INFINITY : openAt(links, address, timing, retryAt, moved);
        for (Link link : links) {
            wake = Math.min(wake, link.until(timing));
            if (!Double.isNaN(link.behindAt)) {
                wake = Math.min(wake, link.behindAt + timing.epochSeconds());
            }
        }
        return wake;
    }

    /**
     * When another link to the current address is wanted: after a pause where there is none that could still be
     * answered in time, beside one whose connection does not come up, beside one that has fallen silent, and beside a
     * call that waits while news may be missed: an older link has fallen silent or is left behind, the address has
     * moved, or the agent of this machine may know more than it has told.
     */
    private static double openAt(
            List<Link> links, String address, WatchTimeouts timing, double retryAt, boolean moved) {
        double heard = Double.NEGATIVE_INFINITY;
        double opened = Double.NEGATIVE_INFINITY;
        int count = 0;
        boolean missing = timing.local() || moved || links.stream().anyMatch(link -> link.answered);
        for (Link link : links) {
            if (link.address.equals(address) && !link.overdue) {
                count++;
                heard = link.answered ? Math.max(heard, link.at + link.patience) : heard;
                opened = link.answered
                        ? opened
                        : Math.max(
                                opened,
                                !link.up
                                        ? link.at + timing.raceSeconds()
                                        : missing ? link.at + timing.turnSeconds() : Double.POSITIVE_INFINITY);
            }
        }
        return count >= timing.links() ? Double.POSITIVE_INFINITY : Math.max(retryAt, Math.max(heard, opened));
    }

    /** One event's work on a copy of the state. */
    private static final class Step {
        private final WatchTimeouts timing;
        private final double now;
        private final List<WatchCommand> commands = new ArrayList<>();
        private final List<Link> links;
        private String address;
        private long version;
        private boolean whole;
        private int nextId;
        private double retryAt;
        private int failed;
        private boolean moved;
        private long random;

        Step(WatchStateMachine from, double now) {
            this.timing = from.timing;
            this.now = now;
            this.links = new ArrayList<>(from.links);
            this.address = from.address;
            this.version = from.version;
            this.whole = from.whole;
            this.nextId = from.nextId;
            this.retryAt = from.retryAt;
            this.failed = from.failed;
            this.moved = from.moved;
            this.random = from.random;
        }

        /** Drawn evenly from 0 to 1. */
        private double draw() {
            random = random * 6364136223846793005L + 1442695040888963407L;
            return (random >>> 11) * 0x1p-53;
        }

        /** No link is opened for a while, the longer the more calls in a row were not answered. */
        private void pause() {
            if (retryAt <= now) {
                // Calls that were raced fail one after the other; a pause for each would add up.
                retryAt = now
                        + draw()
                                * Math.min(
                                        timing.retryMost(),
                                        timing.retrySeconds() * Math.pow(2, Math.min(failed, DOUBLINGS_MOST)));
            }
        }

        WatchOutcome next() {
            return new WatchOutcome(
                    new WatchStateMachine(
                            timing, address, version, whole, links, nextId, retryAt, failed, moved, random),
                    commands);
        }

        void move(String to) {
            if (!to.equals(address)) {
                moved = address != null;
                address = to;
                retryAt = now;
                failed = 0;
            }
        }

        void connected(int id) {
            Link link = find(id);
            if (link != null) {
                replace(link.connected());
            }
        }

        /** The first link to answer stays; the old address is left once the new one has said something. */
        void heard(int id, boolean line) {
            Link link = find(id);
            if (link == null) {
                return;
            }
            boolean first = !link.answered;
            replace(link.heard(now, line));
            if (current(link)) {
                failed = line ? 0 : failed;
                moved &= !line;
                if (first) {
                    close(other -> other.id != id && current(other));
                }
                if (line) {
                    close(other -> !current(other));
                }
            }
        }

        void told(int id, EndpointUpdate news) {
            if (find(id) == null) {
                return;
            }
            heard(id, true);
            Link link = find(id);
            boolean anew = news.isSnapshot() && link.asked == 0;
            if (news.version() > version || anew) {
                replace(link.level());
                commands.add(new WatchCommand.Apply(news, version));
                version = news.version();
                whole &= !news.isSnapshot();
            } else if (news.version() == version) {
                replace(link.level());
            } else {
                replace(link.behind(now));
            }
        }

        /** What stood in it is not known: the whole list says it again. */
        void unreadable(int id) {
            if (find(id) != null) {
                whole = true;
                close(link -> link.id == id);
                failed++;
                pause();
            }
        }

        void notTaken(long before) {
            version = Math.min(version, before);
            whole = true;
            close(link -> true);
            failed++;
            pause();
        }

        void ended(int id) {
            Link link = find(id);
            if (link != null) {
                links.remove(link);
                if (!link.overdue) {
                    // What ends for one gateway ends for all: even one that had spoken waits by chance.
                    failed += link.spoken ? 0 : 1;
                    pause();
                }
            }
        }

        /** What time alone asks for. */
        void look() {
            if (address == null) {
                return;
            }
            for (Link link : List.copyOf(links)) {
                if (now >= link.until(timing)) {
                    if (link.up) {
                        replace(link.late());
                    } else {
                        close(other -> other.id == link.id);
                    }
                    failed++;
                    pause();
                } else if (now - link.behindAt >= timing.epochSeconds()) {
                    whole = true;
                    close(other -> other.id == link.id);
                }
            }
            if (now >= openAt(links, address, timing, retryAt, moved)) {
                open();
            }
        }

        private void open() {
            close(other -> other.overdue && current(other));
            Link link = new Link(
                    nextId++,
                    address,
                    whole ? 0 : version,
                    false,
                    false,
                    now,
                    timing.silenceSeconds() + draw() * timing.spreadSeconds(),
                    false,
                    Double.NaN,
                    false);
            links.add(link);
            commands.add(new WatchCommand.Open(link.id, link.address, link.asked));
        }

        private boolean current(Link link) {
            return link.address.equals(address);
        }

        private Link find(int id) {
            return links.stream().filter(link -> link.id == id).findFirst().orElse(null);
        }

        private void replace(Link link) {
            links.replaceAll(old -> old.id == link.id ? link : old);
        }

        private void close(Predicate<Link> which) {
            for (Link link : links.stream().filter(which).toList()) {
                links.remove(link);
                commands.add(new WatchCommand.Close(link.id));
            }
        }
    }
}
