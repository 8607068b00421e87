package org.cyclamenstall.test.standin;

import java.nio.file.Path;
import java.util.List;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.standin.load.Arrival;
import org.cyclamenstall.standin.load.ArrivalPlan;
import org.cyclamenstall.standin.load.Deployment;
import org.cyclamenstall.standin.load.Scenario;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link ArrivalPlan}.
 */
class ArrivalPlanTests {

	private static final Path FILE = Path.of("..", "scenarios", "paine-pe-drum-crest.yaml");

	private static final String OMITTED_CLASS = "order-summaries";

	private final CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID);

	private final Scenario scenario = this.reader.read(FILE, Scenario.class);

	private final Deployment deployment = this.reader.read(FILE.resolveSibling(this.scenario.deployment()),
			Deployment.class);

	private List<Arrival> draw(long seed, List<String> omittedClasses) {
		return new ArrivalPlan(this.scenario, this.scenario.apply(this.deployment, omittedClasses), seed).generate();
	}

	private static List<String> describeOtherClasses(List<Arrival> arrivals) {
		return arrivals.stream()
			.filter((arrival) -> !arrival.requestClass().name().equals(OMITTED_CLASS))
			.map((arrival) -> arrival.atNanos() + " " + arrival.requestClass().name() + " " + arrival.account() + " "
					+ arrival.tokens() + " " + arrival.balancerSample())
			.toList();
	}

	@Nested
	class Seed {

		@Test
		void determinesEveryArrival() {
			assertThat(draw(1, List.of()), is(draw(1, List.of())));
			assertThat(draw(1, List.of()), is(not(draw(2, List.of()))));
		}

	}

	@Nested
	class LeavingOutAClass {

		@Test
		void doesNotChangeTheArrivalsOfOtherClasses() {
			assertThat(describeOtherClasses(draw(1, List.of(OMITTED_CLASS))),
					is(describeOtherClasses(draw(1, List.of()))));
		}

	}

	@Nested
	class Swing {

		@Test
		void multipliesTheRate() {
			List<Arrival> arrivals = draw(1, List.of());
			double burst = count(arrivals, 10, 20) + count(arrivals, 40, 50);
			double baseline = count(arrivals, 20, 40);
			assertThat(burst / baseline, is(closeTo(4.4, 0.5)));
		}

		private long count(List<Arrival> arrivals, double from, double to) {
			return arrivals.stream()
				.filter((arrival) -> arrival.atNanos() >= from * 1e9 && arrival.atNanos() < to * 1e9)
				.count();
		}

	}

}
