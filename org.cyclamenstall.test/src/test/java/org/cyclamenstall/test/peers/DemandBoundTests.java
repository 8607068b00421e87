package org.cyclamenstall.test.peers;

import java.util.Map;

import org.cyclamenstall.internal.peers.DemandBound;
import org.cyclamenstall.policy.DemandReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link DemandBound}.
 */
class DemandBoundTests {

	private final DemandBound limiter = new DemandBound(2);

	@Nested
	class AReport {

		@Test
		void keepsItsLargestValues() {
			DemandReport report = new DemandReport(Map.of("a", 1.0, "b", 3.0, "c", 2.0),
					Map.of("x", 5, "y", 5, "z", 5));
			assertThat(DemandBoundTests.this.limiter.apply(report),
					is(new DemandReport(Map.of("b", 3.0, "c", 2.0), Map.of("x", 5, "y", 5))));
		}

		@Test
		void thatFitsIsUnchanged() {
			DemandReport report = new DemandReport(Map.of("a", 1.0), Map.of());
			assertThat(DemandBoundTests.this.limiter.apply(report), is(report));
		}

	}

}
