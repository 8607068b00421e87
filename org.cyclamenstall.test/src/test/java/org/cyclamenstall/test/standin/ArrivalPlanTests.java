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

	private static final Path SCENARIO_FILE = Path.of("..", "scenarios", "paine-pe-drum-crest.yaml");

	private static final String EXCLUDED_CLASS = "order-summaries";

	private final CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID);

	private final Scenario scenario = this.reader.read(SCENARIO_FILE, Scenario.class);

	private final Deployment deployment = this.reader.read(SCENARIO_FILE.resolveSibling(this.scenario.deployment()),
			Deployment.class);

	private List<Arrival> generate(long seed, List<String> excludedClasses) {
		return new ArrivalPlan(this.scenario, this.scenario.apply(this.deployment, excludedClasses), seed).generate();
	}

	private static List<String> describeOtherClasses(List<Arrival> arrivals) {
		return arrivals.stream()
			.filter((arrival) -> !arrival.requestClass().name().equals(EXCLUDED_CLASS))
			.map((arrival) -> arrival.atNanos() + " " + arrival.requestClass().name() + " " + arrival.account() + " "
					+ arrival.tokens() + " " + arrival.balancerSample())
			.toList();
	}

	@Nested
	class Seed {

		@Test
		void determinesEveryArrival() {
			assertThat(generate(1, List.of()), is(generate(1, List.of())));
			assertThat(generate(1, List.of()), is(not(generate(2, List.of()))));
		}

	}

	@Nested
	class ExcludedClass {

		@Test
		void doesNotChangeTheArrivalsOfOtherClasses() {
			assertThat(describeOtherClasses(generate(1, List.of(EXCLUDED_CLASS))),
					is(describeOtherClasses(generate(1, List.of()))));
		}

	}

	@Nested
	class Swing {

		@Test
		void multipliesTheRate() {
			List<Arrival> arrivals = generate(1, List.of());
			double burstArrivals = count(arrivals, 10, 20) + count(arrivals, 40, 50);
			double baselineArrivals = count(arrivals, 20, 40);
			assertThat(burstArrivals / baselineArrivals, is(closeTo(4.4, 0.5)));
		}

		private long count(List<Arrival> arrivals, double fromSecond, double toSecond) {
			return arrivals.stream()
				.filter((arrival) -> arrival.atNanos() >= fromSecond * 1e9 && arrival.atNanos() < toSecond * 1e9)
				.count();
		}

	}

}
