package org.cyclamenstall.test.watch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostCodec;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.watch.WatchedHostList;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of {@link WatchedHostList}.
 */
class WatchedHostListTests {

	private static final String SERVICE = "ghiseu";

	private final ManualClock clock = new ManualClock();

	private final WatchedHostList hosts = new WatchedHostList("upstreams/", WatchedHostListTests::decode, this.clock,
			EventLog.NONE);

	private void applyListing(StoreRecord... records) {
		this.hosts.onListing(new StoreListing(List.of(records), 1));
	}

	private void applyChange(StoreRecord record) {
		this.hosts.onChange(new StoreChange(record.key(), record.version(), record));
	}

	private void applyRemoval(String name, long version) {
		this.hosts.onChange(new StoreChange("upstreams/" + name, version, null));
	}

	private void advanceAndCompletePoll(Duration duration) {
		this.clock.advance(duration);
		this.hosts.onPollCompleted();
	}

	private List<String> hostNames() {
		return this.hosts.current().hosts(SERVICE).stream().map(ListedHost::host).toList();
	}

	private HostState stateOf(String name) {
		return this.hosts.current()
			.hosts(SERVICE)
			.stream()
			.filter((host) -> host.host().equals(name))
			.findFirst()
			.orElseThrow()
			.state();
	}

	private static StoreRecord record(String name, long version) {
		return new StoreRecord("upstreams/" + name, name.getBytes(StandardCharsets.UTF_8), version);
	}

	private static Optional<ListedHost> decode(StoreRecord record) {
		String name = new String(record.value(), StandardCharsets.UTF_8);
		return name.equals("unreadable") ? Optional.empty()
				: Optional.of(new ListedHost(SERVICE, name, "127.0.0.1", 1, "domain", HostState.LIVE));
	}

	@Nested
	class WhileTheStoreIsAvailable {

		@Test
		void theListIsCompleteAfterTheFirstListing() {
			applyChange(record("one", 1));
			assertThat(WatchedHostListTests.this.hosts.isListed(), is(false));
			applyListing();
			assertThat(WatchedHostListTests.this.hosts.isListed(), is(true));
		}

		@Test
		void aRemovedUpstreamDisappearsImmediately() {
			applyListing(record("one", 1), record("two", 2));
			applyRemoval("one", 3);
			assertThat(hostNames(), contains("two"));
		}

		@Test
		void anUnreadableRecordIsSkipped() {
			applyListing(record("one", 1), record("unreadable", 2), record("two", 3));
			assertThat(hostNames(), containsInAnyOrder("one", "two"));
		}

		@Test
		void anOlderChangeIsIgnored() {
			applyListing(record("one", 5));
			applyRemoval("one", 4);
			assertThat(hostNames(), contains("one"));
		}

		@Test
		void keysOutsideThePrefixAreIgnored() {
			WatchedHostListTests.this.hosts.onListing(new StoreListing(
					List.of(new StoreRecord("other/one", "one".getBytes(StandardCharsets.UTF_8), 1)), 1));
			assertThat(hostNames(), empty());
		}

	}

	@Nested
	class AroundAnOutage {

		@Test
		void theLastListIsKept() {
			applyListing(record("one", 1));
			WatchedHostListTests.this.hosts.onStoreLost();
			advanceAndCompletePoll(Duration.ofMinutes(1));
			assertThat(hostNames(), contains("one"));
		}

		@Test
		void anUpstreamThatRegistersAgainStaysListed() {
			applyListing(record("one", 1));
			WatchedHostListTests.this.hosts.onStoreLost();
			WatchedHostListTests.this.hosts.onStoreRecovered();
			applyRemoval("one", 2);
			advanceAndCompletePoll(Duration.ofMillis(1_900));
			assertThat(hostNames(), contains("one"));
			applyChange(record("one", 3));
			advanceAndCompletePoll(Duration.ofSeconds(5));
			assertThat(hostNames(), contains("one"));
		}

		@Test
		void theNextPollEndsWithTheGracePeriod() {
			applyListing(record("one", 1), record("two", 2));
			WatchedHostListTests.this.hosts.onStoreLost();
			WatchedHostListTests.this.hosts.onStoreRecovered();
			assertThat(WatchedHostListTests.this.hosts.maximumPollTime(), nullValue());
			WatchedHostListTests.this.clock.advance(Duration.ofMillis(1_300));
			applyRemoval("one", 3);
			Duration pollTime = WatchedHostListTests.this.hosts.maximumPollTime();
			assertThat(pollTime, lessThan(Duration.ofSeconds(1)));
			advanceAndCompletePoll(pollTime);
			assertThat(hostNames(), contains("two"));
			assertThat(WatchedHostListTests.this.hosts.maximumPollTime(), nullValue());
		}

		@Test
		void aSingleMissingUpstreamGetsNoNewRequests() {
			applyListing(record("one", 1), record("two", 2), record("three", 3));
			WatchedHostListTests.this.hosts.onStoreLost();
			WatchedHostListTests.this.hosts.onStoreRecovered();
			applyRemoval("one", 4);
			assertThat(stateOf("one"), equalTo(HostState.LEAVING));
			applyChange(record("one", 5));
			assertThat(stateOf("one"), equalTo(HostState.LIVE));
		}

		@Test
		void manyMissingUpstreamsStayInUse() {
			applyListing(record("one", 1), record("two", 2), record("three", 3));
			WatchedHostListTests.this.hosts.onStoreLost();
			WatchedHostListTests.this.hosts.onStoreRecovered();
			applyRemoval("one", 4);
			applyRemoval("two", 5);
			assertThat(stateOf("one"), equalTo(HostState.LIVE));
			assertThat(stateOf("two"), equalTo(HostState.LIVE));
		}

		@Test
		void anUpstreamThatDoesNotRegisterAgainIsRemovedAfterTheGracePeriod() {
			applyListing(record("one", 1), record("two", 2));
			WatchedHostListTests.this.hosts.onStoreLost();
			WatchedHostListTests.this.hosts.onStoreRecovered();
			applyListing(record("two", 2));
			advanceAndCompletePoll(Duration.ofMillis(2_500));
			assertThat(hostNames(), contains("two"));
		}

	}

	/**
	 * Records hold the name of the upstream and the number of its writes.
	 */
	@Nested
	class AfterARestoreOfTheStore {

		private final WatchedHostList restoredHosts = new WatchedHostList("upstreams/", new AgeingCodec(),
				WatchedHostListTests.this.clock, EventLog.NONE);

		private void list(StoreRecord... records) {
			this.restoredHosts.onListing(new StoreListing(List.of(records), 1));
		}

		private void restoreTo(StoreRecord... records) {
			this.restoredHosts.onStoreRestored();
			list(records);
		}

		private List<String> restoredNames() {
			return this.restoredHosts.current().hosts(SERVICE).stream().map(ListedHost::host).toList();
		}

		private static StoreRecord written(String name, int writes, long revision) {
			return new StoreRecord("upstreams/" + name, (name + " " + writes).getBytes(StandardCharsets.UTF_8),
					revision);
		}

		@Test
		void anUpstreamThatHasLeftComesBackWithTheCopy() {
			list(written("one", 1, 1), written("two", 1, 2));
			this.restoredHosts.onChange(new StoreChange("upstreams/one", 3, null));
			restoreTo(written("one", 1, 10), written("two", 1, 11));
			assertThat(restoredNames(), contains("two"));
			list(written("one", 1, 10), written("two", 1, 11));
			assertThat(restoredNames(), contains("two"));
			this.restoredHosts.onChange(new StoreChange("upstreams/one", 12, written("one", 2, 12)));
			assertThat(restoredNames(), containsInAnyOrder("one", "two"));
		}

		@Test
		void anOlderRecordReplacesANewerOne() {
			list(written("one", 5, 1));
			restoreTo(written("one", 3, 10));
			assertThat(this.restoredHosts.current().hosts(SERVICE).get(0).incarnation(), equalTo(5L));
			this.restoredHosts.onChange(new StoreChange("upstreams/one", 11, written("one", 6, 11)));
			assertThat(this.restoredHosts.current().hosts(SERVICE).get(0).incarnation(), equalTo(6L));
		}

		@Test
		void anUpstreamThatTheCopyLacksIsGivenUpBeforeItCanRegisterAgain() {
			list(written("one", 1, 1), written("two", 1, 2));
			restoreTo(written("two", 1, 10));
			assertThat(restoredNames(), containsInAnyOrder("one", "two"));
			WatchedHostListTests.this.clock.advance(Duration.ofMillis(1_900));
			this.restoredHosts.onPollCompleted();
			this.restoredHosts.onChange(new StoreChange("upstreams/one", 11, written("one", 2, 11)));
			WatchedHostListTests.this.clock.advance(Duration.ofMinutes(1));
			this.restoredHosts.onPollCompleted();
			assertThat(restoredNames(), containsInAnyOrder("one", "two"));
		}

		@Test
		void anUpstreamThatDoesNotRegisterAgainStaysListed() {
			list(written("one", 1, 1), written("two", 1, 2));
			restoreTo(written("two", 1, 10));
			WatchedHostListTests.this.clock.advance(Duration.ofMillis(2_300));
			this.restoredHosts.onPollCompleted();
			assertThat(restoredNames(), contains("two"));
		}

	}

	private static final class AgeingCodec implements HostCodec {

		@Override
		public Optional<ListedHost> decode(StoreRecord record) {
			String name = new String(record.value(), StandardCharsets.UTF_8).split(" ")[0];
			return Optional
				.of(new ListedHost(SERVICE, name, "127.0.0.1", 1, "domain", HostState.LIVE, 1, writes(record)));
		}

		@Override
		public int compareAge(StoreRecord first, StoreRecord second) {
			return Long.compare(writes(first), writes(second));
		}

		private static long writes(StoreRecord record) {
			return Long.parseLong(new String(record.value(), StandardCharsets.UTF_8).split(" ")[1]);
		}

	}

}
