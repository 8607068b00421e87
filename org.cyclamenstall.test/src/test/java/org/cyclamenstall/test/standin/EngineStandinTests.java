package org.cyclamenstall.test.standin;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EngineStandin}.
 */
class EngineStandinTests {

	private static final String PATH = "/v1/chat/completions";

	private static final String STREAMED = "{\"model\":\"m\",\"stream\":true,\"standin_tokens\":9,"
			+ "\"messages\":[{\"role\":\"user\",\"content\":\"Is the ramp free?\"}]}";

	private static final String ENDLESS = "{\"model\":\"m\",\"standin_tokens\":8000,\"messages\":[]}";

	private static final EngineOptions FAST = new EngineOptions(1, 0, 1.0, 0.0, null, null, null, null, null, null);

	private final EngineStandin engine = new EngineStandin("engine-1", "127.0.0.1", 0, FAST);

	private final EngineStandin other = new EngineStandin("engine-2", "127.0.0.1", 0, FAST);

	private final StandinClient client = new StandinClient(this.engine);

	private final StandinClient otherClient = new StandinClient(this.other);

	@AfterEach
	void close() {
		this.engine.close();
		this.other.close();
	}

	private static List<String> tokens(HttpResponse<String> answer) {
		return answer.body()
			.lines()
			.filter((line) -> line.contains("\"content\":"))
			.map((line) -> line.replaceFirst(".*\"content\":\"([^\"]*)\".*", "$1"))
			.toList();
	}

	@Nested
	class Resume {

		@Test
		void anotherEngineSendsExactlyTheRest() {
			List<String> all = tokens(EngineStandinTests.this.client.call("POST", PATH, STREAMED));
			List<String> rest = tokens(
					EngineStandinTests.this.otherClient.call("POST", PATH, STREAMED, HeaderNames.RESUME_TOKENS, "4"));
			assertThat(all, hasSize(9));
			assertThat(rest, contains(all.subList(4, 9).toArray(String[]::new)));
		}

	}

	@Nested
	class WhenTheCallerGoes {

		@Test
		void itsWorkIsCancelledAndTheSlotIsFree() {
			CompletableFuture<HttpResponse<String>> waiting = EngineStandinTests.this.client.start("POST", PATH,
					ENDLESS);
			ConditionWaiter.await(() -> EngineStandinTests.this.engine.counts().get("started") == 1,
					() -> "not started");
			assertThat(EngineStandinTests.this.client.status("POST", PATH, STREAMED), is(429));
			waiting.cancel(true);
			ConditionWaiter.await(() -> EngineStandinTests.this.engine.counts().get("cancelled") == 1,
					() -> "not cancelled");
			assertThat(tokens(EngineStandinTests.this.client.call("POST", PATH, STREAMED)), hasSize(9));
		}

	}

	@Nested
	class WhenDraining {

		@Test
		void newRequestsAreRefusedWithTheMark() {
			EngineStandinTests.this.engine
				.setFaults(new EngineFaults(null, null, null, null, true, null, null, null, null, null, null));
			HttpResponse<String> answer = EngineStandinTests.this.client.call("POST", PATH, STREAMED);
			assertThat(answer.statusCode(), is(503));
			assertThat(answer.headers().firstValue(HeaderNames.DRAINING).orElse(""), is("true"));
			assertThat(EngineStandinTests.this.engine.counts().get("started"), is(0L));
		}

	}

	@Nested
	class KeptConnection {

		@Test
		void takesOneRequestAfterAnother() {
			for (int round = 0; round < 3; round++) {
				HttpResponse<String> answer = EngineStandinTests.this.client.call("POST", PATH, STREAMED,
						HeaderNames.REQUEST_ID, "request-" + round);
				assertThat(answer.headers().firstValue(HeaderNames.REQUEST_ID).orElse(""), is("request-" + round));
				assertThat(tokens(answer), hasSize(9));
			}
		}

	}

}
