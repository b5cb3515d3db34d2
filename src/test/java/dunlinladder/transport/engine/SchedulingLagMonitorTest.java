package dunlinladder.transport.engine;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The lag that the program sees is that of the thread that hears the engines. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SchedulingLagMonitorTest {

    @Test
    void theLagGrowsWhileTheThreadIsBusyAndFallsWhenItIsFree() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                EngineConnectionPool connections = new EngineConnectionPool(EngineConnectionPoolTest.LIMITS, timer);
                SchedulingLagMonitor pulse = new SchedulingLagMonitor(connections)) {
            CountDownLatch release = EngineConnectionPoolTest.occupy(connections, "127.0.0.1:" + engine.getLocalPort());
            try {
                pulse.probe();
                while (pulse.lag() < 0.2) {
                    Thread.onSpinWait();
                }
                pulse.probe();
                assertTrue(pulse.lag() >= 0.2, "a beat that is out keeps its age");
            } finally {
                release.countDown();
            }
            while (pulse.lag() >= 0.2) {
                pulse.probe();
            }
        } finally {
            timer.shutdownNow();
        }
    }
}
