package org.cyclamenstall.test.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.standin.load.Deployment;
import org.cyclamenstall.standin.load.Scenario;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;

/**
 * Tests of the scenarios of the load tool.
 */
class ScenarioTests {

	private static final Path DIRECTORY = Path.of("..", "scenarios");

	private static final List<String> DEPLOYMENT_FILES = List.of("atlas-balisage.yaml", "paine-pe-drum.yaml");

	private static final int SCENARIO_COUNT = 12;

	private final CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID);

	private static List<Path> scenarios() throws IOException {
		try (Stream<Path> files = Files.list(DIRECTORY)) {
			return files.filter((file) -> !DEPLOYMENT_FILES.contains(file.getFileName().toString())).sorted().toList();
		}
	}

	@Nested
	class ShippedFiles {

		@Test
		void includeEveryScenario() throws IOException {
			assertThat(scenarios(), hasSize(SCENARIO_COUNT));
		}

		@ParameterizedTest
		@MethodSource("org.cyclamenstall.test.standin.ScenarioTests#scenarios")
		void areValidAndMatchTheirDeployment(Path file) {
			Scenario scenario = ScenarioTests.this.reader.read(file, Scenario.class);
			Deployment deployment = ScenarioTests.this.reader.read(DIRECTORY.resolve(scenario.deployment()),
					Deployment.class);
			List<String> classes = deployment.classes().stream().map(Deployment.RequestClass::name).toList();
			assertThat(scenario.classes().stream().map(Deployment.RequestClass::name).toList(), everyItem(in(classes)));
			List<String> accounts = deployment.accounts().stream().map(Deployment.Account::name).toList();
			assertThat(scenario.accounts().stream().map(Deployment.Account::name).toList(), everyItem(in(accounts)));
		}

	}

}
