package org.cyclamenstall.test.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.store.ConsulConfigurationStore;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.platform.StoreStandin;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ConsulConfigurationStore} with the store stand-in.
 */
class ConsulConfigurationStoreTests {

	private static final int TIMEOUT_MILLIS = 500;

	private final StoreStandin standin = new StoreStandin("store", "127.0.0.1", 0);

	private final FaultProxy proxy = new FaultProxy("127.0.0.1",
			new InetSocketAddress("127.0.0.1", this.standin.port()));

	private final ConsulConfigurationStore store = createStore(1_000);

	@AfterEach
	void close() {
		this.store.close();
		this.proxy.close();
		this.standin.close();
	}

	private ConsulConfigurationStore createStore(int callsPerSecond) {
		StoreSettings settings = new StoreSettings("consul", this.proxy.address().getHostString(),
				this.proxy.address().getPort(), "test", TIMEOUT_MILLIS, callsPerSecond);
		return new ConsulConfigurationStore(settings, new PrometheusRegistry(), MonotonicClock.SYSTEM,
				RandomSource.XO_RO_SHI_RO_128_PP.create(1));
	}

	private WriteResult create(String key) {
		return this.store.createIfAbsent(key, key.getBytes(StandardCharsets.UTF_8), StorePriority.CLAIM);
	}

	private void awaitReachable() {
		ConditionWaiter.await(() -> {
			try {
				this.store.get("any", StorePriority.CLAIM);
				return true;
			}
			catch (RouterException ex) {
				return false;
			}
		}, () -> "the store does not respond");
	}

	@Nested
	class WhenTheStoreIsAvailable {

		@Test
		void writesAreConditional() {
			byte[] binary = { 0, -1, 127, -128, 10 };
			assertThat(ConsulConfigurationStoreTests.this.store.createIfAbsent("a/b c", binary, StorePriority.CLAIM),
					is(WriteResult.APPLIED));
			assertThat(create("a/b c"), is(WriteResult.CONFLICT));
			StoreRecord record = read("a/b c").orElseThrow();
			assertThat(record.value(), is(binary));
			assertThat(swap(record.version() + 1), is(WriteResult.CONFLICT));
			assertThat(swap(record.version()), is(WriteResult.APPLIED));
			assertThat(ConsulConfigurationStoreTests.this.store.compareAndDelete("a/b c", record.version(),
					StorePriority.CLAIM), is(WriteResult.CONFLICT));
			assertThat(ConsulConfigurationStoreTests.this.store.compareAndDelete("a/b c",
					read("a/b c").orElseThrow().version(), StorePriority.CLAIM), is(WriteResult.APPLIED));
			assertThat(read("a/b c").isPresent(), is(false));
		}

		@Test
		void aBlockingQueryMayExceedTheTimeoutOfOtherCalls() {
			create("test/a");
			StoreListing before = ConsulConfigurationStoreTests.this.store.list("test/", StorePriority.CATALOGUE);
			CompletableFuture<StoreListing> waiting = CompletableFuture
				.supplyAsync(() -> ConsulConfigurationStoreTests.this.store.waitForChange("test/", before.index(),
						Duration.ofSeconds(60)));
			ConditionWaiter.await(() -> ConsulConfigurationStoreTests.this.standin.counts().get("wait") > 0,
					() -> "the blocking query has not arrived");
			long startNanos = System.nanoTime();
			ConditionWaiter.await(() -> System.nanoTime() - startNanos > 2L * TIMEOUT_MILLIS * 1_000_000,
					() -> "twice the timeout has not passed");
			assertThat(waiting.isDone(), is(false));
			create("test/b");
			assertThat(waiting.join().records().size(), is(2));
			assertThat(waiting.join().index(), greaterThan(before.index()));
		}

		private Optional<StoreRecord> read(String key) {
			return ConsulConfigurationStoreTests.this.store.get(key, StorePriority.CLAIM);
		}

		private WriteResult swap(long version) {
			return ConsulConfigurationStoreTests.this.store.compareAndSwap("a/b c", new byte[] { 1 }, version,
					StorePriority.CLAIM);
		}

	}

	@Nested
	class WhenCallsFail {

		@Test
		void aWriteIsNotSentIfTheConnectionIsRefused() {
			ConsulConfigurationStoreTests.this.proxy.close();
			assertThat(create("key"), is(WriteResult.NOT_SENT));
		}

		@Test
		void aWriteWithALostResponseIsUnknownAndApplied() {
			ConsulConfigurationStoreTests.this.standin.setFaults(new StoreFaults(null, null, 1, null, null, null));
			assertThat(create("key"), is(WriteResult.UNKNOWN));
			awaitReachable();
			assertThat(ConsulConfigurationStoreTests.this.store.get("key", StorePriority.CLAIM).isPresent(), is(true));
		}

		@Test
		void theResultIsUnknownAfterATimeout() {
			ConsulConfigurationStoreTests.this.standin.setFaults(new StoreFaults(null, null, null, null, true, null));
			assertThat(create("key"), is(WriteResult.UNKNOWN));
		}

		@Test
		void theResultIsUnknownIfAReusedConnectionWasClosed() {
			awaitReachable();
			ConsulConfigurationStoreTests.this.standin
				.setFaults(new StoreFaults(Availability.CLOSING, null, null, null, null, null));
			assertThat(create("key"), is(WriteResult.UNKNOWN));
		}

		@Test
		void theResultIsUnknownIfTheResponseIsTruncated() {
			FaultRule rule = ConsulConfigurationStoreTests.this.proxy
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.CLOSE).afterBytes(30).build());
			assertThat(create("key"), is(WriteResult.UNKNOWN));
			assertThat(rule.hits(), is(1));
		}

		@Test
		void aReadWithoutAResponseFails() {
			ConsulConfigurationStoreTests.this.standin.setFaults(new StoreFaults(null, null, null, null, true, null));
			assertThat(errorKindOfRead(), is(ErrorKind.STORE_UNAVAILABLE));
		}

		private @Nullable ErrorKind errorKindOfRead() {
			try {
				ConsulConfigurationStoreTests.this.store.get("key", StorePriority.CLAIM);
				return null;
			}
			catch (RouterException ex) {
				return ex.kind();
			}
		}

		@Test
		void theIndexIsResetAfterTheStoreWasRestored() {
			ConsulConfigurationStoreTests.this.standin.takeSnapshot();
			create("test/a");
			long index = ConsulConfigurationStoreTests.this.store.list("test/", StorePriority.CATALOGUE).index();
			ConsulConfigurationStoreTests.this.standin.restoreSnapshot();
			StoreListing listing = ConsulConfigurationStoreTests.this.store.waitForChange("test/", index,
					Duration.ofSeconds(60));
			assertThat(listing.records().isEmpty(), is(true));
			assertThat(listing.index(), is(0L));
		}

	}

	@Nested
	class WhenTheBudgetIsExhausted {

		@Test
		void lowerPrioritiesAreRejectedBeforeClaims() {
			try (ConsulConfigurationStore limitedStore = createStore(4)) {
				WriteResult lastResult = WriteResult.APPLIED;
				for (int number = 0; number < 4; number++) {
					lastResult = limitedStore.createIfAbsent("background-" + number, new byte[1],
							StorePriority.BACKGROUND);
				}
				assertThat(lastResult, is(WriteResult.NOT_SENT));
				assertThat(limitedStore.createIfAbsent("claim", new byte[1], StorePriority.CLAIM),
						is(WriteResult.APPLIED));
			}
		}

	}

}
