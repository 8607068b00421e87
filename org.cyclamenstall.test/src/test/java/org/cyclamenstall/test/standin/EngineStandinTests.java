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

	private static final String STREAMED_REQUEST = "{\"model\":\"m\",\"stream\":true,\"standin_tokens\":9,"
			+ "\"messages\":[{\"role\":\"user\",\"content\":\"Is the ramp free?\"}]}";

	private static final String LONG_REQUEST = "{\"model\":\"m\",\"standin_tokens\":8000,\"messages\":[]}";

	private static final EngineOptions SINGLE_SLOT_OPTIONS = new EngineOptions(1, 0, 1.0, 0.0, null, null, null, null,
			null, null);

	private final EngineStandin engine = new EngineStandin("engine-1", "127.0.0.1", 0, SINGLE_SLOT_OPTIONS);

	private final EngineStandin otherEngine = new EngineStandin("engine-2", "127.0.0.1", 0, SINGLE_SLOT_OPTIONS);

	private final StandinClient client = new StandinClient(this.engine);

	private final StandinClient otherClient = new StandinClient(this.otherEngine);

	@AfterEach
	void close() {
		this.engine.close();
		this.otherEngine.close();
	}

	private static List<String> tokens(HttpResponse<String> response) {
		return response.body()
			.lines()
			.filter((line) -> line.contains("\"content\":"))
			.map((line) -> line.replaceFirst(".*\"content\":\"([^\"]*)\".*", "$1"))
			.toList();
	}

	@Nested
	class Resume {

		@Test
		void anotherEngineSendsOnlyTheRemainingTokens() {
			List<String> allTokens = tokens(EngineStandinTests.this.client.call("POST", PATH, STREAMED_REQUEST));
			List<String> resumedTokens = tokens(EngineStandinTests.this.otherClient.call("POST", PATH, STREAMED_REQUEST,
					HeaderNames.RESUME_TOKENS, "4"));
			assertThat(allTokens, hasSize(9));
			assertThat(resumedTokens, contains(allTokens.subList(4, 9).toArray(String[]::new)));
		}

	}

	@Nested
	class WhenTheCallerDisconnects {

		@Test
		void itsRequestIsCancelledAndTheSlotIsReleased() {
			CompletableFuture<HttpResponse<String>> pendingResponse = EngineStandinTests.this.client.start("POST", PATH,
					LONG_REQUEST);
			ConditionWaiter.await(() -> EngineStandinTests.this.engine.counts().get("started") == 1,
					() -> "the request was not started");
			assertThat(EngineStandinTests.this.client.status("POST", PATH, STREAMED_REQUEST), is(429));
			pendingResponse.cancel(true);
			ConditionWaiter.await(() -> EngineStandinTests.this.engine.counts().get("cancelled") == 1,
					() -> "the request was not cancelled");
			assertThat(tokens(EngineStandinTests.this.client.call("POST", PATH, STREAMED_REQUEST)), hasSize(9));
		}

	}

	@Nested
	class WhenDraining {

		@Test
		void newRequestsAreRejectedWithTheDrainingHeader() {
			EngineStandinTests.this.engine
				.setFaults(new EngineFaults(null, null, null, null, true, null, null, null, null, null, null));
			HttpResponse<String> response = EngineStandinTests.this.client.call("POST", PATH, STREAMED_REQUEST);
			assertThat(response.statusCode(), is(503));
			assertThat(response.headers().firstValue(HeaderNames.DRAINING).orElse(""), is("true"));
			assertThat(EngineStandinTests.this.engine.counts().get("started"), is(0L));
		}

	}

	@Nested
	class ReusedConnection {

		@Test
		void servesConsecutiveRequests() {
			for (int round = 0; round < 3; round++) {
				HttpResponse<String> response = EngineStandinTests.this.client.call("POST", PATH, STREAMED_REQUEST,
						HeaderNames.REQUEST_ID, "request-" + round);
				assertThat(response.headers().firstValue(HeaderNames.REQUEST_ID).orElse(""), is("request-" + round));
				assertThat(tokens(response), hasSize(9));
			}
		}

	}

}
