package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Limits;
import dunlinladder.core.LimitsBuilder;
import dunlinladder.transport.http.RequestBody.Admission;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Guards against a heap that is filled by buffers which the limit on the data of all requests does not count. */
class RequestBodyTest {

    private static final Limits LIMITS = LimitsBuilder.limits().build();
    private static final int BUDGET_BYTES = LIMITS.bodyBytes();

    private final Counters counters = new Counters();
    private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES, counters);

    private RequestBody body(MemoryBudget.Reservation reservation) {
        return new RequestBody(LIMITS, reservation);
    }

    private static Admission receive(RequestBody body, int size) throws IOException {
        Admission admission = body.admit(size);
        body.consume(ByteBuffer.allocate(size));
        return admission;
    }

    @Test
    void anAnnouncedBodyTakesItsLengthUntilItsExchangeEnds() throws Exception {
        MemoryBudget.Reservation reservation = budget.open();
        RequestBody body = body(reservation);
        body.expect(700);
        assertEquals(Admission.ADMITTED, receive(body, 400));
        assertEquals(Admission.ADMITTED, receive(body, 300));
        assertEquals(700, body.takeContent().length);
        MemoryBudget.Reservation other = budget.open();
        assertTrue(other.resize(BUDGET_BYTES - 700));
        assertFalse(other.resize(BUDGET_BYTES));
        body.release();
        assertTrue(other.resize(BUDGET_BYTES));
        assertFalse(reservation.resize(1));
    }

    @Test
    void aBodyWithoutCapacityDropsItsBuffer() throws Exception {
        RequestBody first = body(budget.open());
        first.expect(600);
        assertEquals(Admission.ADMITTED, receive(first, 600));
        RequestBody second = body(budget.open());
        second.expect(400);
        assertEquals(Admission.ADMITTED, receive(second, 100));
        RequestBody third = body(budget.open());
        third.expect(400);
        assertEquals(Admission.NO_CAPACITY, receive(third, 100));
        assertEquals(1, counters.count(Counter.REQUEST_MEMORY_REFUSED));
        second.discard();
        assertEquals(Admission.DISCARDED, receive(second, 300));
        assertTrue(budget.open().resize(BUDGET_BYTES - 600), "discarded bodies take nothing");
    }
}
