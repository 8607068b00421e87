package org.cyclamenstall.test.standin;

import java.nio.charset.StandardCharsets;

import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.standin.service.ServiceFaults;
import org.cyclamenstall.standin.service.ServiceStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ServiceStandin}.
 */
class ServiceStandinTests {

	private static final String PATH = "/bookings";

	private static final String KEY = "booking-1";

	private final ServiceStandin service = new ServiceStandin("service", "127.0.0.1", 0);

	private final StandinClient client = new StandinClient(this.service);

	@AfterEach
	void close() {
		this.service.close();
	}

	private int postBooking() {
		return this.client.status("POST", PATH, "{}", HeaderNames.IDEMPOTENCY_KEY, KEY);
	}

	private static ServiceFaults faults(Integer refuse, Integer closeBefore, Integer closeAfter) {
		return new ServiceFaults(null, null, null, refuse, closeBefore, closeAfter, null, null, null);
	}

	@Nested
	class ExecutionCount {

		@Test
		void countsEachExecution() {
			postBooking();
			postBooking();
			assertThat(ServiceStandinTests.this.service.executionsOfKey(KEY), is(2L));
			assertThat(
					ServiceStandinTests.this.service.executionsOf("POST", PATH, "{}".getBytes(StandardCharsets.UTF_8)),
					is(2L));
		}

		@Test
		void excludesRequestsRefusedOrClosedBeforeExecution() {
			ServiceStandinTests.this.service.setFaults(faults(1, 1, null));
			assertThat(postBooking(), is(503));
			assertThat(postBooking(), is(StandinClient.NO_RESPONSE));
			assertThat(ServiceStandinTests.this.service.executionsOfKey(KEY), is(0L));
		}

		@Test
		void includesRequestsClosedAfterExecution() {
			ServiceStandinTests.this.service.setFaults(faults(null, null, 1));
			assertThat(postBooking(), is(StandinClient.NO_RESPONSE));
			assertThat(ServiceStandinTests.this.service.executionsOfKey(KEY), is(1L));
		}

	}

}
