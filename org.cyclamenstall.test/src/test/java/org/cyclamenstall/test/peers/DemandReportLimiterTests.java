package org.cyclamenstall.test.peers;

import java.util.Map;

import org.cyclamenstall.internal.peers.DemandReportLimiter;
import org.cyclamenstall.policy.DemandReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link DemandReportLimiter}.
 */
class DemandReportLimiterTests {

	private final DemandReportLimiter limiter = new DemandReportLimiter(2);

	@Nested
	class Apply {

		@Test
		void keepsTheLargestValues() {
			DemandReport report = new DemandReport(Map.of("a", 1.0, "b", 3.0, "c", 2.0),
					Map.of("x", 5, "y", 5, "z", 5));
			assertThat(DemandReportLimiterTests.this.limiter.apply(report),
					is(new DemandReport(Map.of("b", 3.0, "c", 2.0), Map.of("x", 5, "y", 5))));
		}

		@Test
		void returnsASmallReportUnchanged() {
			DemandReport report = new DemandReport(Map.of("a", 1.0), Map.of());
			assertThat(DemandReportLimiterTests.this.limiter.apply(report), is(report));
		}

	}

}
