package dunlinladder.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.it.StandIn.Browser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three started gateways before one set of engines, where what they do together is the point. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TogetherTest {

    private final List<Running> gateways = new ArrayList<>();
    private Running first;

    @BeforeEach
    void start() throws Exception {
        first = new Running(Map.of(), null);
        gateways.add(first);
        gateways.add(first.beside());
        gateways.add(first.beside());
    }

    @AfterEach
    void stop() throws Exception {
        // The first one's stand-ins are all others' too.
        for (int i = gateways.size() - 1; i >= 0; i--) {
            gateways.get(i).close();
        }
    }

    private static int ask(Running gateway, String body) throws Exception {
        try (Browser browser = gateway.post(Running.freshId(), "listing", "5.0", body)) {
            assertTrue(browser.head());
            browser.body();
            return browser.status;
        }
    }

    /** Later than the settings' second after discovery has told it, none sends to a writer that drains. */
    @Test
    void allHeedOneDrain() throws Exception {
        for (Running gateway : gateways) {
            assertEquals(200, ask(gateway, "before"));
        }
        StandIn.until(() -> first.discovery.seen.size() >= gateways.size());
        StandIn drains = first.writers.get(0);
        first.discovery.tell(
                "{\"seq\":2,\"whole\":false,\"hosts\":[" + Running.host(drains, "answer", "leaving") + "]}");
        long latest = System.nanoTime() + 1_000_000_000L;
        int served = 0;
        while (System.nanoTime() < latest + 500_000_000L) {
            for (Running gateway : gateways) {
                served += ask(gateway, "after") == 200 ? 1 : 0;
            }
        }
        assertTrue(served > 0);
        assertEquals(served, first.atWriters("POST", "after"));
        assertEquals(
                0,
                drains.seen.stream()
                        .filter(s -> s.method().equals("POST") && s.at() > latest)
                        .count());
    }

    /** Nine in ten processes that start together are ready within 10 s, all within the limit of this class. */
    @Test
    void nineInTenThatStartTogetherAreReadyInTime() throws Exception {
        List<Future<Double>> starts = new ArrayList<>();
        ExecutorService pool = Executors.newFixedThreadPool(10);
        for (int i = 0; i < 10; i++) {
            starts.add(pool.submit(() -> {
                long from = System.nanoTime();
                Running started = first.beside();
                synchronized (gateways) {
                    gateways.add(started);
                }
                try (Browser up = new Browser(started.port).send("GET", "/up", "", "")) {
                    assertTrue(up.head());
                    assertEquals(200, up.status);
                }
                return (System.nanoTime() - from) / 1e9;
            }));
        }
        int inTime = 0;
        for (Future<Double> start : starts) {
            inTime += start.get() <= 10 ? 1 : 0;
        }
        pool.shutdown();
        assertTrue(inTime >= 9, inTime + " of 10");
    }

    /** One that is killed with a read and a stream out costs its own clients alone. */
    @Test
    void oneThatIsKilledCostsItsOwnClientsAlone() throws Exception {
        Running killed = gateways.get(1);
        Browser reading = killed.post(Running.freshId(), "listing", "5.0", "hang-reader");
        Browser streaming = killed.post(Running.freshId(), "listing", "5.0", "pause");
        assertTrue(streaming.head());
        StandIn.until(() -> first.reader.count("POST", "hang-reader") == 1);
        killed.process.destroyForcibly().waitFor();
        assertEquals(200, ask(gateways.get(0), "during"));
        assertEquals(200, ask(gateways.get(2), "during"));
        assertFalse(reading.head(), "its connection is reset");
        assertTrue(streaming.body().endsWith("(cut)"));
        StandIn.until(() -> first.reader.abandoned.size()
                        + first.writers.stream()
                                .mapToInt(w -> w.abandoned.size())
                                .sum()
                == 2);
        assertEquals(1, first.reader.count("POST", "hang-reader"), "nobody sends it again");
        gateways.set(1, first.beside());
        assertEquals(200, ask(gateways.get(1), "again"));
    }

    /** One that is stopped (SIGSTOP) for a while takes up its work; what the others do goes on meanwhile. */
    @Test
    void oneThatIsStoppedGoesOn() throws Exception {
        Running stopped = gateways.get(2);
        stopped.signal("STOP");
        try (Browser waits = stopped.post(Running.freshId(), "listing", "5.0", "asleep")) {
            assertEquals(200, ask(gateways.get(0), "awake"));
            assertEquals(200, ask(gateways.get(1), "awake"));
            assertEquals(0, first.reader.count("POST", "asleep"));
            stopped.signal("CONT");
            assertTrue(waits.head());
            assertEquals(200, waits.status);
        }
        assertEquals(1, first.atWriters("POST", "asleep"));
    }
}
