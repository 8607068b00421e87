package org.cyclamenstall.test.operators;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.internal.operators.OperatorServer;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.junit.InMemoryConfigurationStore;
import org.cyclamenstall.junit.StaticMembership;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.settings.OperatorSettings;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the conditions under which {@link OperatorServer} refuses to start.
 */
class OperatorTokenTests {

	@TempDir
	private Path directory;

	private static @Nullable ErrorKind startFailure(String address, @Nullable String tokenFile) {
		PrometheusRegistry metrics = new PrometheusRegistry();
		try (OperatorServer server = new OperatorServer(new OperatorSettings(address, 0, tokenFile), "test",
				new InMemoryConfigurationStore(), new LocalCatalogue(metrics), new StaticMembership("host-1"),
				() -> new Readiness(true, ""), List::of, metrics, MonotonicClock.SYSTEM, () -> 0)) {
			server.start();
			return null;
		}
		catch (RouterException ex) {
			return ex.kind();
		}
	}

	@Nested
	class WhenThePortIsReachableFromOtherHosts {

		@Test
		void aTokenIsRequired() {
			assertThat(startFailure("0.0.0.0", null), is(ErrorKind.SETTINGS_INVALID));
			assertThat(startFailure("10.1.2.3", null), is(ErrorKind.SETTINGS_INVALID));
		}

	}

	@Nested
	class WhenTheTokenIsTooShortOrItsFileIsMissing {

		@Test
		void theServerDoesNotStart() throws IOException {
			Path file = Files.writeString(OperatorTokenTests.this.directory.resolve("token"), "short\n");
			assertThat(startFailure("127.0.0.1", file.toString()), is(ErrorKind.SETTINGS_INVALID));
			assertThat(startFailure("127.0.0.1", "/nothing"), is(ErrorKind.SETTINGS_INVALID));
		}

	}

	@Nested
	class WhenThePortIsOnALoopbackAddress {

		@Test
		void noTokenIsNeeded() {
			assertThat(startFailure("127.0.0.1", null) == null, is(true));
		}

	}

}
