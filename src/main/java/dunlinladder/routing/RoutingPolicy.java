package dunlinladder.routing;

import dunlinladder.routing.Attempt.Stage;
import dunlinladder.routing.Router.Role;
import dunlinladder.routing.Router.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * All decisions of one router. Its interface (settings, events, actions) is in {@code Router.java}; what it
 * remembers of servers, requests and attempts is in {@code EngineState}, {@code RequestState} and {@code Attempt}.
 *
 * <p>The sections follow a request's life: events, arrival, reader, writer, sending, outcomes, the end; then
 * evidence of health, cold servers, the list. {@code docs/design.md} says why and when each exception acts.
 */
public final class RoutingPolicy implements Router {

    /** Seconds between sweeps while requests wait; well under every aim. */
    private static final double SWEEP = 0.02;
    /** Seconds before {@code expires} at which an unsent request gets its answer; over two sweeps. */
    private static final double END_MARGIN = 0.05;
    /** Share of {@code releaseWithin} for which a state may wait for a writer; the rest is for delays. */
    private static final double HOLD_SHARE = 0.5;

    /** A reader that keeps the prompt's beginning is "clearly busier" past this ratio and these reads. */
    private static final double KEPT_RATIO = 2;
    private static final double KEPT_READS = 3;
    /** Times that a token weighs that must be read anew: reading it also pushes out what is kept. */
    private static final double MISSED_WEIGHT = 2;
    /** Part of an average read that each read costs whatever its length. */
    private static final double READ_BASE = 0.5;
    /** Average reads by which readers count as equal, so that all routers follow one order. */
    private static final double EVEN_READS = 0.5;
    /** Share of the aim up to which a session waits for the server that keeps its earlier turns. */
    private static final double STAY_WAIT = 0.8;
    /** How many fewer reads where next to nothing is seen: own reads out are then rarely more than one. */
    private static final double KEPT_BLIND = 2;
    /** Readers for each that a beginning's share of the traffic needs; the rest is for uneven shares. */
    private static final double SPREAD = 3;
    /** Requests over which shares are counted, and those of other beginnings assumed before any. */
    private static final int BEGINNINGS_MOST = 100;
    private static final double BEGINNINGS_PRIOR = 20;
    /** Share of the prompt that must be kept to matter; less saves too little work. */
    private static final double KEPT_LEAST = 0.2;
    /** Seconds for which a kept prefix is believed; servers forget silently when memory turns over. */
    private static final double KEPT_FOR = 30;
    /** Sessions and beginnings remembered; bounds memory. */
    private static final int KEPT_MOST = 20_000;
    /** Reads by which a reader of another zone must be better, the less the less is seen; it costs points. */
    private static final double ZONE_MARGIN = 2;
    private static final double ZONE_BLIND = 0.5;
    /** Times an even part of a role that a zone's own servers are taken for; zones' traffic is uneven. */
    private static final double ZONE_ROOM = 0.7;
    /** Reads that the cell's writers weigh at double the mean streams; keeps the pair near, yet balanced. */
    private static final double CELL_WEIGHT = 2;
    /** Reads that one average prompt waiting by report weighs; reports are late, so below own reads. */
    private static final double REPORT_WEIGHT = 0.3;
    /** Seconds after which a report no longer counts. */
    private static final double REPORT_FOR = 3;
    /** Streams of a mixed server, against the writers' mean, at which it has its share; it also reads. */
    private static final double MIXED_SHARE = 0.6;

    /** Shares of the aim at which readers are jammed, and late anyway; the part that a mixed one may take. */
    private static final double JAM_WAIT = 0.15;
    private static final double JAM_LATE = 0.5;
    private static final double JAM_LESS = 0.5;
    /** Times the writers' mean stream that a mixed server's may last; past it what it reads slows them. */
    private static final double PACE_MOST = 1.6;
    /** Smoothing of that: about the last ten streams, as answers differ in length. */
    private static final double PACE_SMOOTH = 0.1;
    /** Share of the aim that a server may take although another is quicker; past it, it is behind. */
    private static final double BEHIND = 0.3;

    /** Share of memory past which a writer fills up, and the streams that the rest of it weighs. */
    private static final double MEMORY_FREE = 0.75;
    private static final double MEMORY_WEIGHT = 10;
    /** Seconds that a report may have been under way: what was sent since may not be in it. */
    private static final double REPORT_DELAY = 0.4;

    /** "Clearly more": the cell's best writer against the zone's, as a ratio and in streams. */
    private static final double CLEAR_RATIO = 1.5;
    private static final double CLEAR_STREAMS = 2;
    /** How many times that a writer of another zone takes; the state crosses a slower link. */
    private static final double FAR_TIMES = 1.5;

    /** Smoothing of delays: about the last five answers count. */
    private static final double SMOOTH = 0.2;
    /** Seconds in which a delay not seen again fades to a third of its distance from the peers' median. */
    private static final double SAMPLE_FADE = 5;
    /** Smoothing of what is the same for all: some fifty requests. */
    private static final double SMOOTH_SLOW = 0.02;
    /** Latest answers of a role whose median is the usual delay where servers are seldom met. */
    private static final int LATEST = 7;
    /** Seconds after which such an answer is forgotten once a new one comes: a good trial opens again. */
    private static final double LATEST_FOR = 6;
    /** How many more waits until news is old where hundreds of routers try alike: some five seconds. */
    private static final double NEWS_STRETCH = 9;
    /** Seconds added to both sides when delays are compared, so that tiny delays do not look slow. */
    private static final double DELAY_FLOOR = 0.05;
    /** Times the peers' median at which a server counts as slower; less is noise. */
    private static final double SLOW = 2;
    /** Times the peers' median at which it gets trial sends only. */
    private static final double SUSPECT = 4;
    /** Least relative speed, so that load stays comparable. */
    private static final double SPEED_LEAST = 0.05;
    /** Failures in a row at which it gets trial sends only; one where servers are seldom met. */
    private static final int SUSPECT_FAILURES = 2;
    /** At most this share of a role is held to trials; past it the evidence speaks of all, not of one. */
    private static final double MOST_BARRED = 0.5;
    /** Seconds to the next trial after the first failure, doubled for each further one up to the last. */
    private static final double TRIAL_WAIT = 0.5;
    private static final int TRIAL_DOUBLINGS = 3;
    /** How many more waits between trials where hundreds of routers try the same server. */
    private static final double TRIAL_STRETCH = 6;
    /** Requests that each recent failure counts as load; an erring server clears its count fast. */
    private static final double FAILURE_LOAD = 2;
    /** Seconds in which the count of failures falls to a third. */
    private static final double FAILURE_FADE = 4;
    /** Seconds for which a server that was full gets nothing while others are not. */
    private static final double FULL_WAIT = 0.1;

    /** Times the usual delay after which an attempt is given up, and the least share of the aim. */
    private static final double TIMEOUT_FACTOR = 6;
    private static final double TIMEOUT_LEAST = 0.4;
    /** Repeats earned by each arrival and the most saved up; retries must not amplify overload. */
    private static final double REPEATS_EARNED = 0.2;
    private static final double REPEATS_MOST = 20;

    /** Share of the aim that the expected wait may take before requests over a tenant's share are refused. */
    private static final double OVER_SHARE_WAIT = 0.5;
    /** Share of the aim past which the expected wait gets any new request refused; the rest is error. */
    private static final double SHED_WAIT = 0.8;
    /** Part of that which is held back where the wait is guessed from a few answers of the role. */
    private static final double SHED_DOUBT = 0.5;
    /** Weight of the backlog's wait; the peak seen of late may be under what the servers can do. */
    private static final double BACKLOG_WEIGHT = 0.75;
    /** Seconds of quota that a tenant may save up. */
    private static final double QUOTA_BURST = 3;
    /** Requests that it may save up where the router's part is under one a second. */
    private static final double QUOTA_LEAST = 4;

    /** Seconds over which a role's answers are counted, and in which the remembered peak fades to a third. */
    private static final double RATE_WINDOW = 4;
    private static final double PEAK_FADE = 60;
    /** Share of the rules' multiple that a cold server may get of its ramped part; the rest is for error. */
    private static final double COLD_SHARE = 0.5;

    /** Routers up to which each sees enough of the traffic to go by its own counts alone. */
    private static final double FULL_SIGHT = 8;
    /** How many times longer rates are counted where a router sees next to nothing; some twenty answers. */
    private static final double RATE_STRETCH = 5;

    private final Settings settings;
    /** Part of the fleet's load that own counts cannot show: 0 with few routers, towards 1 with many. */
    private final double blind;
    private final Random random;
    private final Map<String, EngineState> workers = new LinkedHashMap<>();
    private final Map<String, RequestState> jobs = new LinkedHashMap<>();
    private final Set<RequestState> waiting = new LinkedHashSet<>();
    private final PrefixCacheIndex keeps = new PrefixCacheIndex(KEPT_MOST, KEPT_FOR, SMOOTH);
    private final DecayingFrequency beginnings = new DecayingFrequency(BEGINNINGS_MOST, BEGINNINGS_PRIOR);
    private final TenantTokenBuckets quotas;
    private final StreamDurationStats paces = new StreamDurationStats(SMOOTH_SLOW, PACE_SMOOTH, SAMPLE_FADE);
    private List<Action> actions = new ArrayList<>();
    private double now;
    private double comparedAt = Double.NaN;
    private boolean sweeping;
    private final ThroughputMeter served;
    private final double[] medianLag = new double[Role.values().length];
    private final double[] totalWeight = new double[Role.values().length];
    private final double[] meanWait = new double[Role.values().length];
    private Map<Integer, Double> cellWriters = Map.of();
    private double meanWriters;
    private double meanMixed;
    private final double[] heardOf = new double[Role.values().length];
    private final List<ArrayDeque<double[]>> latest = Stream.generate(ArrayDeque<double[]>::new)
            .limit(Role.values().length).toList();
    private long zones;
    private Map<Integer, Double> readPart = Map.of();
    private Map<Integer, Double> writePart = Map.of();
    private Map<Integer, Double> surplus = Map.of();
    private double writerSpeeds;
    private double meanTokens = 1000;
    private double meanOutput = 100;
    private double meanHeld = 3000;
    private double repeats = REPEATS_MOST;
    private int followFailures;

    /** Creates a router's decisions; {@code seed} feeds its random numbers. */
    public RoutingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        blind = Math.max(0, 1 - FULL_SIGHT / settings.balancers());
        double window = RATE_WINDOW * (1 + blind * (RATE_STRETCH - 1));
        served = new ThroughputMeter(RATE_WINDOW, window, PEAK_FADE, blind > 0);
        quotas = new TenantTokenBuckets(settings.quotas(), settings.balancers(), QUOTA_BURST, QUOTA_LEAST * blind);
    }

    // ---- Events ----

    @Override
    public List<Action> handle(double clock, Event event) {
        actions = new ArrayList<>();
        now = clock;
        if (event instanceof Members e) {
            onMembers(e);
        } else if (event instanceof Arrival e) {
            onArrival(e.request());
        } else if (event instanceof FirstToken e) {
            onFirstToken(e);
        } else if (event instanceof Outcome e) {
            onOutcome(e);
        } else if (event instanceof ClientGone e && jobs.containsKey(e.id())) {
            end(jobs.get(e.id()));
        } else if (event instanceof Timer e) {
            onTimer(e.token());
        }
        if (!waiting.isEmpty() && !sweeping) {
            sweeping = true;
            actions.add(new SetTimer(0, SWEEP));
        }
        return actions;
    }

    private void onTimer(long token) {
        if (token != 0) {
            actions.add(new Follow());
            return;
        }
        sweeping = false;
        for (RequestState job : new ArrayList<>(waiting)) {
            if (job.mayHold && now - job.heldSince > settings.rules().releaseWithin() * HOLD_SHARE) {
                release(job);
            }
            route(job);
        }
    }

    // ---- Arrival: count it, judge its chances, choose its first server ----

    private void onArrival(Request request) {
        if (jobs.containsKey(request.id())) {
            return;
        }
        RequestState job = new RequestState(request, settings.classes().get(request.serviceClass()), now);
        jobs.put(request.id(), job);
        meanOutput += (output(request, job.type) - meanOutput) * SMOOTH_SLOW;
        repeats = Math.min(REPEATS_MOST, repeats + REPEATS_EARNED);
        beginnings.count(request.prefix());
        job.overShare = quotas.overShare(request.tenant(), now);
        route(job);
    }

    /** The tokens that an answer may take: the hint where there is one, else the ceiling. */
    private static double output(Request request, ServiceClass type) {
        return request.hint() > 0 && type.tokenAim() > 0
                ? Math.min(request.hint() / type.tokenAim(), request.maxOut()) : request.maxOut();
    }

    /** Takes a request's next step: a writer for a state that waits, else a reader; else it waits. */
    private void route(RequestState job) {
        if (job.ended || !job.out.isEmpty()) {
            return;
        }
        boolean over = job.ranAt != null && (job.type.effect() == Effect.UNSAFE
                || job.type.effect() == Effect.KEYED && now - job.ranSentAt > job.type.repeatWindow());
        if (over || now > job.request.expires() - END_MARGIN || job.attempts >= settings.maxAttempts()) {
            finish(job);
            return;
        }
        compare();
        if (job.holder != null) {
            EngineState writer = pickWriter(job);
            if (writer != null) {
                send(job, writer, Stage.DECODE);
                return;
            }
        } else {
            EngineState mixed = pickMixed(job);
            EngineState reader = settings.maxAttempts() - job.attempts < 2 ? null : pickReader(job);
            boolean whole = mixed != null
                    && (reader == null || mixedIsDue(job, mixed) && expectedWait(job, mixed)
                            <= Math.max(BEHIND * job.aim(), expectedWait(job, reader))
                            || readersJam(job, reader, mixed));
            EngineState chosen = whole ? mixed : reader;
            EngineState known = stay(job);
            if (known != null && known != chosen && (chosen == null || expectedWait(job, known)
                    <= Math.max(STAY_WAIT * job.aim(), expectedWait(job, chosen)))) {
                chosen = known;
                whole = known.role != Role.PREFILL;
            }
            if (chosen != null) {
                if (!newsIsOld(chosen) && hopeless(job, expectedWait(job, chosen))) {
                    finish(job);
                } else {
                    send(job, chosen, whole ? Stage.PREFILL_AND_DECODE : Stage.PREFILL);
                }
                return;
            }
        }
        waiting.add(job);
    }

    /**
     * The server that keeps the session's earlier turns. Guards against the jam in which turns read anew
     * push out what others had kept. Can harm where one server gets the long sessions.
     */
    private EngineState stay(RequestState job) {
        EngineState at = blind > 0 || settings.maxAttempts() - job.attempts < 2 ? null
                : keeps.sessionAt(job.request.session(), now);
        return at != null && usable(job, w -> w.role == at.role).contains(at) ? at : null;
    }

    /**
     * Refuses a new request that would miss its aim, over-share ones sooner, and a repeat that is too late:
     * queues as long as the aim keep all late for good. Where the news is old it is tried all the same:
     * refusing brings no news, and after an outage everything would be refused for good.
     */
    private boolean hopeless(RequestState job, double wait) {
        if (job.attempts > 0) {
            return wait > job.request.expires() - now;
        }
        return wait > Math.min(job.aim(), job.request.expires() - now)
                * (job.overShare ? OVER_SHARE_WAIT : SHED_WAIT) * (1 - SHED_DOUBT * blind);
    }

    private boolean newsIsOld(EngineState w) {
        double heardAt = blind > 0 ? heardOf[w.role.ordinal()] : w.sampledAt;
        return w.pending.isEmpty() && now - heardAt > TRIAL_WAIT * (1 + NEWS_STRETCH * blind);
    }

    /** Seconds until the first token by way of a reader or mixed server, from what answers now take. */
    private double expectedWait(RequestState job, EngineState w) {
        double later = w.role == Role.PREFILL ? medianLag[Role.DECODE.ordinal()] : 0;
        return Math.max(knownLag(w) * size(job, w) + later, backlogWait());
    }

    /**
     * Requests without a first token over the most first tokens a second seen of late: shows a jam while it
     * builds. What sits at suspects is no backlog. Too long after a sudden rise, so it is weighed down.
     */
    private double backlogWait() {
        double rate = served.peak(Role.DECODE) + served.peak(Role.MIXED);
        if (now - served.firstAt() < 2 * RATE_WINDOW) {
            return 0;
        }
        int unstarted = 0;
        for (EngineState w : workers.values()) {
            unstarted += suspect(w) ? 0 : w.pending.size();
        }
        return BACKLOG_WEIGHT * (1 - blind) * unstarted / rate;
    }

    // ---- Reader: fewest own reads, kept prefixes weighing in ----

    /**
     * A reader that keeps the beginning goes first until clearly busier, as a ratio, so that it holds when
     * all queues are long. Guards against the jam in which readers lose what they keep. Can harm when one
     * beginning is so popular that its readers run at the ratio's edge.
     */
    private EngineState pickReader(RequestState job) {
        List<EngineState> readers = atHome(job, usable(job, w -> w.role == Role.PREFILL));
        EngineState least = leastBusy(job, readers, this::readerLoad);
        if (least == null) {
            return null;
        }
        if (blind == 0) {
            double even = EVEN_READS + readers.stream().mapToDouble(w -> readCost(job, w)).min().orElse(0);
            return inOrder(job, readers.stream().filter(w -> readCost(job, w) <= even).toList());
        }
        double enough = KEPT_LEAST * job.request.promptTokens();
        boolean coldIsFree = isCold(least);
        double bound = readerLoad(least) * KEPT_RATIO + KEPT_READS - (coldIsFree ? 1 : blind) * KEPT_BLIND;
        double wait = coldIsFree ? Math.max(BEHIND * job.aim(), knownLag(least) * size(job, least))
                : Double.POSITIVE_INFINITY;
        List<EngineState> near = readers.stream().filter(w -> readerLoad(w) <= bound
                && knownLag(w) * size(job, w) <= wait).toList();
        double most = near.stream().mapToDouble(w -> kept(job, w)).max().orElse(0);
        if (most >= enough) {
            return inOrder(job, near.stream().filter(w -> kept(job, w) >= most).toList());
        }
        return job.request.prefixTokens() >= enough ? inOrder(job, near) : least;
    }

    /**
     * What a read costs, in average reads: what is ahead at the reader and, doubled, what it would have to
     * read. A read of few missing tokens is not one of a long prompt. Harms while what is kept is unknown.
     */
    private double readCost(RequestState job, EngineState w) {
        double missed = job.request.promptTokens() - kept(job, w);
        double load = FAILURE_LOAD * failureCount(w) + READ_BASE * w.reads + (w.readTokens
                + REPORT_WEIGHT * 1000 * reportedWait(w) + MISSED_WEIGHT * missed) / meanTokens;
        return load / w.speed + CELL_WEIGHT * cellPressure(w) + zoneMargin(w);
    }

    /**
     * Where own counts say little, the servers of this router's zone, but no more of the sessions than these
     * can take beside an even part of all; the rest goes by all zones. Guards against crossings, and against
     * zones with few servers of a role. Can harm when the zones' traffic is far from even.
     */
    private List<EngineState> atHome(RequestState job, List<EngineState> from) {
        List<EngineState> home = from.stream().filter(w -> w.member.zone() == settings.zone()).toList();
        double part = ZONE_ROOM * home.size() * zones / Math.max(1, from.size());
        double drawn = order(job.request.session(), settings.zone()) / 0x1p64 + 0.5;
        return blind > 0 && drawn < part ? home : from;
    }

    /**
     * Between equals, routers that cannot talk settle on the same servers: each beginning has an order, and
     * the first of it keep it, the more the larger its share; each session has its own among them. Guards
     * against one reader getting a popular beginning from all. Can harm when shares shift quickly.
     */
    private EngineState inOrder(RequestState job, List<EngineState> from) {
        long prefix = job.request.prefix();
        long count = prefix == 0 ? from.size()
                : 1 + (long) (blind * SPREAD * beginnings.part(prefix) * from.size());
        return from.stream().sorted(Comparator.comparingDouble(w -> order(prefix, w.id.hashCode())))
                .limit(count).min(Comparator.comparingDouble(w -> order(job.request.session(),
                        w.id.hashCode()))).orElse(null);
    }

    private static double order(long key, int place) {
        long mixed = (key ^ place * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return mixed ^ mixed >>> 32;
    }

    /** The least busy; where own counts say little, what differs by less than half a request is equal. */
    private EngineState leastBusy(RequestState job, List<EngineState> from, ToDoubleFunction<EngineState> load) {
        if (blind == 0) {
            return best(from, load, w -> w.readTokens, this::reportedWait);
        }
        double least = from.stream().mapToDouble(load).min().orElse(0);
        return inOrder(job, from.stream().filter(w -> load.applyAsDouble(w) <= least + blind / 2).toList());
    }

    private double readerLoad(EngineState w) {
        double reads = FAILURE_LOAD * failureCount(w) + Math.max(w.reads, w.readTokens / meanTokens);
        double load = (reads + blind * othersReads(w)) / w.speed - blind
                + REPORT_WEIGHT * reportedWait(w) / (meanTokens / 1000) + CELL_WEIGHT * cellPressure(w);
        return load + zoneMargin(w);
    }

    /**
     * What other routers have at a reader, against the mean of its role; at a cold one as its answers take
     * against the usual time. Guards against all routers queuing at the few warm readers while cold ones are
     * quick; where all are warm, leaving a reader for it would cost what it keeps.
     */
    private double othersReads(EngineState w) {
        double usual = medianLag[w.role.ordinal()];
        return isCold(w) ? (knownLag(w) + DELAY_FLOOR) / (usual + DELAY_FLOOR) : 1;
    }

    private double zoneMargin(EngineState w) {
        double margin = blind > 0 ? ZONE_BLIND * (1 - blind) : ZONE_MARGIN;
        return w.member.zone() == settings.zone() ? 0 : margin;
    }

    /** Thousands of prompt tokens waiting by a fresh report; a reader not heard of counts as average. */
    private double reportedWait(EngineState w) {
        return reports(w) ? w.waitingKilotokens : meanWait[w.role.ordinal()];
    }

    private boolean reports(EngineState w) {
        return now - w.reportAt <= REPORT_FOR && !Double.isNaN(w.waitingKilotokens);
    }

    /** Load of the cell's writers over the fleet's mean, less one; 0 when there are few streams. */
    private double cellPressure(EngineState reader) {
        Double cell = cellWriters.get(reader.member.cell());
        return cell == null || meanWriters < 1 ? 0 : Math.max(-1, Math.min(1, cell / meanWriters - 1));
    }

    /** Prompt tokens that a server that reads probably still keeps. */
    private double kept(RequestState job, EngineState w) {
        if (keeps.sessionAt(job.request.session(), now) == w) {
            return keeps.sessionTokens(job.request);
        }
        boolean sent = keeps.prefixSent(job.request.prefix(), w, now);
        double part = blind == 0 ? sent ? w.foundSent : w.foundOther
                : sent || !isCold(w) ? keeps.foundBy(w.role) : 0;
        return job.request.prefixTokens() * part;
    }

    /** What was found kept corrects what is believed of the server and what the read should have taken. */
    private void learnKept(Attempt attempt, Outcome event) {
        boolean read = event.status() == Status.PREFILLED;
        if (!read && (event.status() != Status.OK || attempt.stage != Stage.PREFILL_AND_DECODE)) {
            return;
        }
        keeps.learn(attempt, event.note(), blind > 0);
        if (read) {
            double missed = Math.max(1, attempt.job.request.promptTokens() - event.note());
            meanTokens += (missed - meanTokens) * SMOOTH_SLOW;
            attempt.size = size(missed + attempt.ahead);
        }
    }

    private EngineState pickMixed(RequestState job) {
        List<EngineState> mixed = atHome(job, usable(job, w -> w.role == Role.MIXED
                || settings.readInPlace() && w.role == Role.DECODE && job.attempts > 0));
        return leastBusy(job, mixed, w -> writerLoad(w) - kept(job, w) / meanTokens + zoneMargin(w));
    }

    /**
     * A mixed server takes a request whole while it has less than its share of streams; where own counts say
     * little, while all of them have, by session: the next turn then finds what was kept.
     */
    private boolean mixedIsDue(RequestState job, EngineState mixed) {
        double drawn = order(job.request.session(), 0) / 0x1p64 + 0.5;
        boolean keepsPace = mixed.role == Role.MIXED && paces.of(mixed, now) < PACE_MOST;
        return keepsPace && (Double.isNaN(meanWriters) || (blind > 0 ? meanMixed / (2 * drawn)
                : writerLoad(mixed)) < MIXED_SHARE * meanWriters);
    }

    /**
     * Whether a mixed server should help: the readers are behind and it is not. Its reads slow its streams:
     * only while these keep pace, or past hope of the aim. Can harm when long prompts come in a row.
     */
    private boolean readersJam(RequestState job, EngineState reader, EngineState mixed) {
        double there = knownLag(reader) * size(job, reader) + medianLag[Role.DECODE.ordinal()];
        return blind == 0 && mixed.role == Role.MIXED && there > JAM_WAIT * job.aim()
                && knownLag(mixed) * size(job, mixed) < there * JAM_LESS && memoryNow(mixed) < MEMORY_FREE
                && (paces.of(mixed, now) < PACE_MOST || there > JAM_LATE * job.aim());
    }

    // ---- Writer: after the read, fewest own streams, near the reader ----

    private EngineState pickWriter(RequestState job) {
        List<EngineState> writers = usable(job, w -> w.role == Role.DECODE);
        if (writers.isEmpty()) {
            writers = usable(job, w -> w.role == Role.MIXED);
        }
        Router.Member home = job.holder.member;
        EngineState drawn = random.nextDouble() < blind ? drawWriter(home, writers) : null;
        if (drawn != null) {
            return drawn;
        }
        EngineState writer = fewestStreams(writers, w -> w.member.cell() == home.cell());
        EngineState zone = fewestStreams(writers, w -> w.member.zone() == home.zone());
        writer = writer == null || zone != null && clearlyMore(writer, zone, 1) ? zone : writer;
        EngineState far = fewestStreams(writers, w -> true);
        return writer == null || clearlyMore(writer, far, FAR_TIMES) ? far : writer;
    }

    /**
     * Where own counts say little: what a cell's readers send beyond its writers' part goes to cells with
     * writers to spare, of the zone first. Guards against cells with many readers and few writers. Can harm
     * when the zones' traffic is far from even.
     */
    private EngineState drawWriter(Router.Member home, List<EngineState> writers) {
        double reads = readPart.getOrDefault(home.cell(), 0.0);
        double writes = writePart.getOrDefault(home.cell(), 0.0);
        if (random.nextDouble() * reads <= writes) {
            return fewestStreams(writers, w -> w.member.cell() == home.cell());
        }
        boolean stays = random.nextDouble() * surplus.getOrDefault(home.zone(), 0.0) < writers.stream()
                .filter(w -> w.member.zone() == home.zone()).mapToDouble(this::spare).sum();
        List<EngineState> from = writers.stream().filter(w -> stays == (w.member.zone() == home.zone())).toList();
        double left = random.nextDouble() * from.stream().mapToDouble(this::spare).sum();
        for (EngineState w : from) {
            left -= spare(w);
            if (left < 0) {
                return fewestStreams(from, other -> other.member.cell() == w.member.cell());
            }
        }
        return null;
    }

    /** This writer's part of what its cell's writers can take beyond their cell's reads. */
    private double spare(EngineState w) {
        double writes = writePart.getOrDefault(w.member.cell(), 0.0);
        double reads = readPart.getOrDefault(w.member.cell(), 0.0);
        return reads >= writes ? 0 : (1 - reads / writes) * w.speed / writerSpeeds;
    }

    private EngineState fewestStreams(List<EngineState> writers, Predicate<EngineState> where) {
        List<EngineState> from = writers.stream().filter(where).toList();
        return blind > 0 ? best(from, w -> Math.rint(2 * writerLoad(w)), w -> 0, w -> 0)
                : best(from, this::writerLoad, this::memoryShare, w -> 0);
    }

    private boolean clearlyMore(EngineState near, EngineState other, double times) {
        return writerLoad(near) > times * (writerLoad(other) * CLEAR_RATIO + CLEAR_STREAMS);
    }

    private double writerLoad(EngineState w) {
        double full = blind > 0 ? 0 : MEMORY_WEIGHT * Math.max(0, memoryNow(w) - MEMORY_FREE);
        return (w.streamWeight + FAILURE_LOAD * failureCount(w) + blind) / w.speed - blind + full;
    }

    /** Share of memory held, by report and what was sent since: a full writer sends answers back to wait. */
    private double memoryNow(EngineState w) {
        boolean fresh = w.memory > 0 && now - w.reportAt <= REPORT_FOR;
        double from = Math.max(w.reportAt - REPORT_DELAY, now - REPORT_FOR);
        return memoryShare(w) + (fresh ? w.heldSince(from) / w.memory : 0);
    }

    /** Share of memory held: by a fresh report, else by this router's own streams and its part of all. */
    private double memoryShare(EngineState w) {
        double own = w.memory > 0 ? w.heldTokens * settings.balancers() / w.memory : 0;
        return now - w.reportAt <= REPORT_FOR && !Double.isNaN(w.memoryShare) ? w.memoryShare : own;
    }

    // ---- Choosing among servers ----

    /** Servers that a request may go to: open, healthy or due a trial, within a cold server's budget. */
    private List<EngineState> usable(RequestState job, Predicate<EngineState> role) {
        List<EngineState> open = workers.values().stream().filter(w -> w.open && now >= w.fullUntil && role.test(w)
                && job.request.fits().test(w.id) && repeatAllowed(job, w) && coldBudgetLeft(w)).toList();
        List<EngineState> fit = open.stream().filter(w -> !suspect(w)
                || w.pending.isEmpty() && now >= trialAt(job, w)).toList();
        List<EngineState> reached = open.stream().filter(w -> w.unreachedInRow < SUSPECT_FAILURES
                || now >= trialAt(job, w)).toList();
        List<EngineState> most = reached.isEmpty() ? open : reached;
        List<EngineState> fresh = (open.size() - fit.size() > open.size() * MOST_BARRED ? most : fit).stream()
                .filter(w -> !job.tried.contains(w)).toList();
        return !fresh.isEmpty() || job.tried.isEmpty() ? fresh
                : most.stream().filter(w -> !suspect(w)).toList();
    }

    private EngineState best(List<EngineState> from, ToDoubleFunction<EngineState> cost,
            ToDoubleFunction<EngineState> tie, ToDoubleFunction<EngineState> lastTie) {
        EngineState best = null;
        double[] bestKey = null;
        int same = 0;
        for (EngineState w : from) {
            double[] key = {cost.applyAsDouble(w), tie.applyAsDouble(w), lastTie.applyAsDouble(w)};
            int order = best == null ? -1 : Arrays.compare(key, bestKey);
            same = order < 0 ? 1 : order == 0 ? same + 1 : same;
            if (order < 0 || order == 0 && random.nextInt(same) == 0) {
                best = w;
                bestKey = key;
            }
        }
        return best;
    }

    /** Rule 2: a request that might have run goes on only where its repeats are dropped, in time. */
    private boolean repeatAllowed(RequestState job, EngineState w) {
        if (w.role == Role.PREFILL || job.ranAt == null || job.type.effect() == Effect.SAFE) {
            return true;
        }
        if (job.type.effect() == Effect.UNSAFE || now - job.ranSentAt > job.type.repeatWindow() - SWEEP) {
            return false;
        }
        return switch (job.type.group()) {
            case ALL -> true;
            case ZONE -> w.member.zone() == job.ranAt.member.zone();
            case CELL -> w.member.cell() == job.ranAt.member.cell();
        };
    }

    // ---- Sending ----

    private void send(RequestState job, EngineState w, Stage stage) {
        waiting.remove(job);
        Attempt attempt = new Attempt(job, job.attempts++, w, stage, now);
        if (stage != Stage.DECODE) {
            attempt.tokens = job.request.promptTokens() - kept(job, w);
            attempt.size = size(job, w);
            keeps.note(attempt, now);
            attempt.ahead = w.readTokens;
            w.readTokens += attempt.tokens;
            w.reads++;
            job.mayHold = true;
        }
        if (stage != Stage.PREFILL) {
            double out = output(job.request, job.type);
            attempt.held = job.request.promptTokens() + out;
            meanHeld += (attempt.held - meanHeld) * SMOOTH_SLOW;
            attempt.weight = (1 + (blind > 0 ? out / Math.max(1, meanOutput) : attempt.held / meanHeld)) / 2;
            w.streams++;
            w.streamWeight += attempt.weight;
            w.heldTokens += attempt.held;
            w.sent(attempt, REPORT_FOR);
        }
        double timeout = timeout(job, w, attempt);
        w.nextTrialAt = now + trialWait(w);
        job.out.put(attempt.number, attempt);
        w.pending.add(attempt);
        w.credit -= 1;
        comparedAt = Double.NaN;
        actions.add(new Send(job.request.id(), w.id, timeout));
    }

    /** How much longer than usual a read should take: its own tokens and those ahead of it. */
    private double size(RequestState job, EngineState w) {
        return size(job.request.promptTokens() - kept(job, w) + w.readTokens);
    }

    private double size(double tokens) {
        return (1 + tokens / meanTokens) / 1.5;
    }

    /** Time-out of an attempt; 0 (until the client leaves) where nothing better could follow it. */
    private double timeout(RequestState job, EngineState w, Attempt attempt) {
        boolean canRepeat = settings.maxAttempts() - job.attempts >= (attempt.stage == Stage.PREFILL ? 2 : 1)
                && (attempt.stage == Stage.PREFILL || job.type.effect() == Effect.SAFE) && repeats >= 1;
        double usual = Math.max(medianLag[w.role.ordinal()], suspect(w) ? 0 : knownLag(w)) * attempt.size;
        double least = TIMEOUT_LEAST * job.aim();
        double wait = Math.max(least, TIMEOUT_FACTOR * usual);
        return canRepeat && wait < job.request.expires() - now - least ? wait : 0;
    }

    // ---- Outcomes ----

    private Attempt find(String id, int number) {
        return jobs.containsKey(id) ? jobs.get(id).out.get(number) : null;
    }

    private void onFirstToken(FirstToken event) {
        Attempt attempt = find(event.id(), event.attempt());
        if (attempt == null || !Double.isNaN(attempt.firstAt)) {
            return;
        }
        attempt.firstAt = now;
        attempt.job.holder = null;
        attempt.job.mayHold = false;
        EngineState w = attempt.worker;
        w.pending.remove(attempt);
        attempt.endRead();
        succeeded(w, event.elapsed() / attempt.size);
    }

    private void onOutcome(Outcome event) {
        Attempt attempt = find(event.id(), event.attempt());
        if (attempt == null) {
            return;
        }
        RequestState job = attempt.job;
        EngineState w = attempt.worker;
        job.out.remove(attempt.number);
        w.pending.remove(attempt);
        attempt.endRead();
        attempt.endStream();
        w.heard(event.report(), now);
        heardOf[w.role.ordinal()] = now;
        learnKept(attempt, event);
        paces.learn(attempt, event.status(), now, blind == 0);
        judge(attempt, event);
        boolean mayHaveRun = attempt.stage != Stage.PREFILL && !event.status().neverRan();
        if (mayHaveRun && job.ranAt == null) {
            job.ranAt = w;
            job.ranSentAt = attempt.sentAt;
        }
        if (event.closed() || job.ended) {
            job.mayHold = event.status() != Status.OK;
            end(job);
        } else {
            goOn(attempt, event);
        }
    }

    /** What an outcome says of the server. */
    private void judge(Attempt attempt, Outcome event) {
        EngineState w = attempt.worker;
        w.unreachedInRow = event.status() == Status.CONNECT_FAILED ? w.unreachedInRow + 1 : 0;
        switch (event.status()) {
            case PREFILLED -> succeeded(w, event.elapsed() / attempt.size);
            case FULL -> {
                if (event.note() == 0) {
                    w.fullUntil = now + FULL_WAIT;
                    failed(w, 0);
                }
            }
            case TIMEOUT -> {
                if (Double.isNaN(attempt.firstAt)) {
                    double delay = event.elapsed() / attempt.size;
                    failed(w, delay > SUSPECT * medianLag[w.role.ordinal()] ? 1 : 0);   // else impatience
                    learnDelay(w, delay);
                }
            }
            case ERROR, CONNECT_FAILED, RESET -> failed(w, 1);
            default -> { }
        }
    }

    /** The next step of a request that is still owed its answer. */
    private void goOn(Attempt attempt, Outcome event) {
        RequestState job = attempt.job;
        boolean late = job.heldTooLong(attempt, event.status(), now, settings.rules().releaseWithin());
        boolean gone = event.status() == Status.FULL && event.note() == 1;
        if (event.status() == Status.PREFILLED) {
            job.holder = attempt.worker;
            job.tried.clear();
        } else if (attempt.stage == Stage.DECODE && (gone || late)) {
            release(job);   // rule 5: out of the writer's reach is not gone, a cut-off reader still holds it
        } else if (event.status() == Status.NOT_SENT) {
            finish(job);
            return;
        } else {
            job.tried.add(attempt.worker);
            repeats -= event.status() == Status.TIMEOUT ? 1 : 0;
        }
        route(job);
    }

    // ---- The end of a request ----

    /** Gives the final answer: a refusal where it may promise that a new try is harmless, else a failure. */
    private void finish(RequestState job) {
        boolean harmless = job.ranAt == null || job.type.effect() == Effect.SAFE
                || job.type.effect() == Effect.KEYED && job.type.group() == Group.ALL;
        double backoff = settings.retryAfter() ? RequestState.advice(backlogWait(), settings, random.nextDouble()) : 0;
        actions.add(harmless ? new Refuse(job.request.id(), backoff) : new Fail(job.request.id()));
        end(job);
    }

    /** A reader whose answer was lost (a link cut, a reset) may hold the state all the same. */
    private void release(RequestState job) {
        if (job.mayHold) {
            job.mayHold = false;
            job.holder = null;
            actions.add(new Release(job.request.id()));
        }
    }

    /** Rule 5: whatever ends a request, nothing stays held for it; late outcomes release once more. */
    private void end(RequestState job) {
        job.ended = true;
        waiting.remove(job);
        if (job.out.isEmpty()) {
            release(job);
            jobs.remove(job.request.id());
        }
    }

    // ---- Evidence of health: against peers of the same role, never against fixed times ----

    private void succeeded(EngineState w, double delay) {
        w.failedInRow = 0;
        served.count(w.role, now);
        learnDelay(w, delay);
    }

    private void learnDelay(EngineState w, double delay) {
        w.sampledAt = now;
        ArrayDeque<double[]> last = latest.get(w.role.ordinal());
        last.addLast(new double[] {now, delay});
        while (last.size() > LATEST || now - last.getFirst()[0] > LATEST_FOR) {
            last.removeFirst();
        }
        boolean recovered = delay < w.delay / 2;
        w.delay = Double.isNaN(w.delay) || recovered ? delay : w.delay + (delay - w.delay) * SMOOTH;
    }

    private void failed(EngineState w, int inRow) {
        w.failures = failureCount(w) + 1;
        w.failuresAt = now;
        w.failedInRow += inRow;
        w.nextTrialAt = now + trialWait(w);
    }

    private double failureCount(EngineState w) {
        return w.failures * Math.exp((w.failuresAt - now) / FAILURE_FADE);
    }

    /** What its answers now take, or its oldest unanswered attempt; old samples fade, so that it returns. */
    private double lag(EngineState w) {
        double usual = medianLag[w.role.ordinal()];
        double lag = usual + (w.delay - usual) * Math.exp((w.sampledAt - now) / SAMPLE_FADE);
        for (Attempt attempt : w.pending) {
            double age = (now - attempt.sentAt) / attempt.size;
            lag = lag >= age ? lag : age;
        }
        return lag;
    }

    /**
     * Where own counts say little, a cold server not yet heard of counts as quick: what routers may send
     * there is bounded. Guards against refusing for the jam at the few warm ones while cold ones are idle.
     */
    private double knownLag(EngineState w) {
        boolean untried = blind > 0 && isCold(w);
        return !Double.isNaN(w.lag) ? w.lag : untried ? 0 : medianLag[w.role.ordinal()];
    }

    /** Once for each clock time, when needed: how servers stand against the open ones of their role. */
    private void compare() {
        if (now == comparedAt) {
            return;
        }
        comparedAt = now;
        for (Role role : Role.values()) {
            compare(role.ordinal(), open(role));
        }
        List<EngineState> writers = open(Role.DECODE);
        meanWriters = writers.stream().mapToDouble(this::writerLoad).average().orElse(Double.NaN);
        meanMixed = open(Role.MIXED).stream().mapToDouble(this::writerLoad).average().orElse(0);
        zones = workers.values().stream().filter(w -> w.open).mapToInt(w -> w.member.zone()).distinct()
                .count();
        writerSpeeds = writers.stream().mapToDouble(w -> w.speed).sum();
        writePart = writers.stream().collect(Collectors.groupingBy(w -> w.member.cell(),
                Collectors.summingDouble(w -> w.speed / writerSpeeds)));
        List<EngineState> readers = open(Role.PREFILL);
        double readerSpeeds = readers.stream().mapToDouble(w -> w.speed).sum();
        readPart = readers.stream().collect(Collectors.groupingBy(w -> w.member.cell(),
                Collectors.summingDouble(w -> w.speed / readerSpeeds)));
        surplus = readers.stream().collect(Collectors.groupingBy(w -> w.member.zone(),
                Collectors.summingDouble(w -> Math.max(0, 1 - writePart.getOrDefault(w.member.cell(), 0.0)
                        / readPart.get(w.member.cell())) * w.speed / readerSpeeds)));
        cellWriters = writers.stream().collect(Collectors.groupingBy(w -> w.member.cell(),
                Collectors.averagingDouble(this::writerLoad)));
    }

    private List<EngineState> open(Role role) {
        return workers.values().stream().filter(w -> w.open && w.role == role).toList();
    }

    private void compare(int role, List<EngineState> peers) {
        peers.forEach(w -> w.lag = lag(w));
        double[] lags = peers.stream().mapToDouble(w -> w.lag).filter(v -> v >= 0).sorted().toArray();
        double median = blind == 0 || latest.get(role).isEmpty() ? median(lags) : latelyUsual(role, peers);
        medianLag[role] = median;
        totalWeight[role] = peers.stream().mapToDouble(w -> w.member.weight()).sum();
        meanWait[role] = peers.stream().filter(this::reports).mapToDouble(w -> w.waitingKilotokens).average()
                .orElse(0);
        for (EngineState w : peers) {
            double slow = Double.isNaN(w.lag) ? 1 : (w.lag + DELAY_FLOOR) / (median + DELAY_FLOOR);
            w.slowness = slow < SLOW ? 1 : slow;
            double weight = w.member.weight() * peers.size() / totalWeight[role];
            w.speed = Math.max(SPEED_LEAST, weight * ramp(w) / w.slowness);
        }
    }

    /** Median of the role's latest answers and of what waits longer: a jam shows before it is answered. */
    private double latelyUsual(int role, List<EngineState> peers) {
        double[] answers = latest.get(role).stream().mapToDouble(v -> v[1]).sorted().toArray();
        DoubleStream waiting = peers.stream().flatMap(w -> w.pending.stream())
                .mapToDouble(a -> (now - a.sentAt) / a.size).filter(age -> age > median(answers));
        return median(DoubleStream.concat(Arrays.stream(answers), waiting).sorted().toArray());
    }

    private static double median(double[] sorted) {
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    private boolean suspect(EngineState w) {
        return w.failedInRow >= (blind > 0 ? 1 : SUSPECT_FAILURES) || w.slowness >= SUSPECT;
    }

    /** A trial goes to a request that may be repeated; to another one only where none came for long. */
    private double trialAt(RequestState job, EngineState w) {
        boolean harmless = w.role == Role.PREFILL || job.type.effect() == Effect.SAFE;
        return w.nextTrialAt + (harmless ? 0 : trialWait(w));
    }

    private double trialWait(EngineState w) {
        return TRIAL_WAIT * (1 << Math.min(w.failedInRow, TRIAL_DOUBLINGS)) * (1 + TRIAL_STRETCH * blind);
    }

    // ---- Cold servers: this router's part of what one can take ----

    private boolean isCold(EngineState w) {
        return w.member.startedAt() > 0 && now - w.member.startedAt() < settings.rules().cold();
    }

    private double ramp(EngineState w) {
        double from = settings.rules().coldFrom();
        return isCold(w) ? from + (1 - from) * (now - w.member.startedAt()) / settings.rules().cold() : 1;
    }

    /**
     * Rule 4: a cold server earns credit for sends, at its part of the most that this router has seen its
     * role serve (arrivals are multiplied by repeats), ramped; a window's worth, or one, may be saved. The
     * credit starts at one where routers are few, and is drawn where many would each grant one. Holds with a
     * whole zone cold and after this router's own restart. Harms when load has just risen.
     */
    private boolean coldBudgetLeft(EngineState w) {
        if (!isCold(w)) {
            return true;
        }
        double window = settings.rules().tipAfter();
        double part = w.member.weight() / Math.max(w.member.weight(), totalWeight[w.role.ordinal()]);
        double rate = served.peak(w.role) * part * ramp(w) * COLD_SHARE * settings.rules().fallMultiple();
        double credit = w.creditAt < w.member.startedAt() ? 1 - blind * random.nextDouble()
                : w.credit + (now - w.creditAt) * rate;
        w.credit = Math.min(credit, Math.max(1, rate * window));
        w.creditAt = now;
        return w.credit >= 1;
    }

    // ---- The list of servers ----

    private void onMembers(Members event) {
        if (event.scope() == Scope.FAILED) {
            double wait = TRIAL_WAIT * (1 << Math.min(++followFailures, TRIAL_DOUBLINGS));
            actions.add(new SetTimer(1, wait));
            return;
        }
        if (event.scope() == Scope.CACHED && settings.listOnRequest()) {
            actions.add(new Follow());
        } else {
            followFailures = 0;
        }
        if (event.scope() != Scope.CHANGES) {
            workers.values().forEach(w -> w.open = false);
        }
        for (Member member : event.members()) {
            EngineState w = workers.computeIfAbsent(member.worker(), EngineState::new);
            if (w.member != null && member.startedAt() > w.member.startedAt()) {
                w.forget();
            }
            if (w.member == null || member.startedAt() > w.member.startedAt()) {
                w.foundOther = member.startedAt() > 0 ? 0 : 1;   // long at work it keeps what all send
            }
            w.member = member;
            int kind = member.kind();
            w.role = kind < settings.roleByKind().size() ? settings.roleByKind().get(kind) : Role.MIXED;
            w.memory = kind < settings.kvTokens().size() ? settings.kvTokens().get(kind) : 0;
            w.open = member.lifecycle() == Lifecycle.ACTIVE;
        }
        if (event.scope() != Scope.CHANGES) {
            Set<String> named = event.members().stream().map(Member::worker).collect(Collectors.toSet());
            forget(w -> !named.contains(w.id));
        }
        forget(w -> w.member.lifecycle() == Lifecycle.LEFT);
        comparedAt = Double.NaN;
        waiting.stream().toList().forEach(this::route);
    }

    /** Servers leave for good and others come under new ids: what is kept of them would grow for ever. */
    private void forget(Predicate<EngineState> gone) {
        for (EngineState w : workers.values().stream().filter(gone).toList()) {
            workers.remove(w.id);
            keeps.forget(w);
        }
    }
}
