package org.cyclamenstall.test.standin;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.platform.StoreStandin;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link StoreStandin}.
 */
class StoreStandinTests {

	private static final String KEY_PATH = "/v1/kv/tests/one";

	private static final String INDEX_HEADER = "X-Consul-Index";

	private final StoreStandin store = new StoreStandin("store", "127.0.0.1", 0);

	private final StandinClient client = new StandinClient(this.store);

	@AfterEach
	void close() {
		this.store.close();
	}

	private String put(String query, String value) {
		return this.client.call("PUT", KEY_PATH + query, value).body();
	}

	private long index() {
		return this.client.call("GET", KEY_PATH, "").headers().firstValueAsLong(INDEX_HEADER).orElseThrow();
	}

	@Nested
	class CompareAndSwap {

		@Test
		void indexZeroCreatesTheKeyOnce() {
			assertThat(put("?cas=0", "first"), is("true"));
			assertThat(put("?cas=0", "second"), is("false"));
		}

		@Test
		void theCurrentIndexReplacesTheValueOnce() {
			put("?cas=0", "first");
			long readIndex = index();
			assertThat(put("?cas=" + readIndex, "second"), is("true"));
			assertThat(put("?cas=" + readIndex, "third"), is("false"));
			assertThat(StoreStandinTests.this.client.call("DELETE", KEY_PATH + "?cas=" + readIndex, "").body(),
					is("false"));
			assertThat(StoreStandinTests.this.client.call("DELETE", KEY_PATH + "?cas=" + index(), "").body(),
					is("true"));
			assertThat(StoreStandinTests.this.client.call("GET", KEY_PATH, "").statusCode(), is(404));
		}

	}

	@Nested
	class BlockingRead {

		@Test
		void returnsAfterAChangeBelowItsPrefix() throws Exception {
			put("", "first");
			CompletableFuture<HttpResponse<String>> blockingRead = StoreStandinTests.this.client.start("GET",
					"/v1/kv/tests/?recurse&index=" + index() + "&wait=60s", "");
			ConditionWaiter.await(() -> StoreStandinTests.this.store.counts().get("wait") == 1,
					() -> "no blocking read is waiting");
			put("", "second");
			assertThat(blockingRead.get(60, TimeUnit.SECONDS).headers().firstValueAsLong(INDEX_HEADER).orElseThrow(),
					is(index()));
		}

	}

	@Nested
	class WhenResponsesAreLost {

		@Test
		void theWriteIsAppliedWithoutAResponse() {
			StoreStandinTests.this.store.setFaults(new StoreFaults(null, null, 1, null, null, null));
			assertThat(StoreStandinTests.this.client.status("PUT", KEY_PATH + "?cas=0", "first"),
					is(StandinClient.NO_RESPONSE));
			assertThat(StoreStandinTests.this.client.call("GET", KEY_PATH, "").statusCode(), is(200));
			assertThat(put("?cas=0", "second"), is("false"));
		}

	}

	@Nested
	class WhenReadsAreStale {

		@Test
		void theyReturnTheEarlierState() {
			put("", "first");
			String before = StoreStandinTests.this.client.call("GET", KEY_PATH, "").body();
			StoreStandinTests.this.store.setFaults(new StoreFaults(null, null, null, null, null, true));
			put("", "second");
			assertThat(StoreStandinTests.this.client.call("GET", KEY_PATH, "").body(), is(before));
			StoreStandinTests.this.store.setFaults(StoreFaults.NONE);
			assertThat(StoreStandinTests.this.client.call("GET", KEY_PATH, "").body(), is(not(before)));
		}

	}

	@Nested
	class WhenRestored {

		@Test
		void itContainsTheSnapshot() {
			put("", "first");
			String before = StoreStandinTests.this.client.call("GET", KEY_PATH, "").body();
			StoreStandinTests.this.client.call("POST", "/standin/snapshot", "");
			put("", "second");
			StoreStandinTests.this.client.call("POST", "/standin/restore", "");
			assertThat(StoreStandinTests.this.client.call("GET", KEY_PATH, "").body(), containsString(before));
		}

	}

	@Nested
	class WhenFrozen {

		@Test
		void callsCompleteAfterTheFaultIsCleared() throws Exception {
			put("", "first");
			StoreStandinTests.this.store.setFaults(new StoreFaults(null, null, null, null, true, null));
			CompletableFuture<HttpResponse<String>> pendingResponse = StoreStandinTests.this.client.start("GET",
					KEY_PATH, "");
			ConditionWaiter.await(() -> StoreStandinTests.this.store.counts().get("frozen") == 1,
					() -> "no call is frozen");
			assertThat(pendingResponse.isDone(), is(false));
			StoreStandinTests.this.store.setFaults(StoreFaults.NONE);
			assertThat(pendingResponse.get(60, TimeUnit.SECONDS).statusCode(), is(200));
		}

	}

}
