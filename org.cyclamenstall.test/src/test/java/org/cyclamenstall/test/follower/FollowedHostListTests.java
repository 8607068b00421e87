package org.cyclamenstall.test.follower;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.follower.FollowedHostList;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;

/**
 * Tests of {@link FollowedHostList}.
 */
class FollowedHostListTests {

	private static final String SERVICE = "ghiseu";

	private final ManualClock clock = new ManualClock();

	private final FollowedHostList hosts = new FollowedHostList("upstreams/", FollowedHostListTests::decode, this.clock,
			EventLog.NONE);

	private void list(StoreRecord... records) {
		this.hosts.listed(List.of(records));
	}

	private void change(StoreRecord record) {
		this.hosts.changed(new StoreChange(record.key(), record.version(), record));
	}

	private void remove(String name, long version) {
		this.hosts.changed(new StoreChange("upstreams/" + name, version, null));
	}

	private void pass(Duration duration) {
		this.clock.advance(duration);
		this.hosts.settled();
	}

	private List<String> names() {
		return this.hosts.current().hosts(SERVICE).stream().map(ListedHost::host).toList();
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
	class WhileTheStoreAnswers {

		@Test
		void aRemovedUpstreamIsGoneAtOnce() {
			list(record("one", 1), record("two", 2));
			remove("one", 3);
			assertThat(names(), contains("two"));
		}

		@Test
		void anUnreadableRecordNamesNoUpstreamAndHarmsNoOther() {
			list(record("one", 1), record("unreadable", 2), record("two", 3));
			assertThat(names(), containsInAnyOrder("one", "two"));
		}

		@Test
		void anOlderChangeIsPassedOver() {
			list(record("one", 5));
			remove("one", 4);
			assertThat(names(), contains("one"));
		}

		@Test
		void keysOfOthersArePassedOver() {
			FollowedHostListTests.this.hosts
				.listed(List.of(new StoreRecord("other/one", "one".getBytes(StandardCharsets.UTF_8), 1)));
			assertThat(names(), empty());
		}

	}

	@Nested
	class AroundAnOutage {

		@Test
		void theLastListStands() {
			list(record("one", 1));
			FollowedHostListTests.this.hosts.lost();
			pass(Duration.ofMinutes(1));
			assertThat(names(), contains("one"));
		}

		@Test
		void aLapsedUpstreamThatRegistersAgainWasNeverGone() {
			list(record("one", 1));
			FollowedHostListTests.this.hosts.lost();
			FollowedHostListTests.this.hosts.regained();
			remove("one", 2);
			pass(Duration.ofMillis(1_900));
			assertThat(names(), contains("one"));
			change(record("one", 3));
			pass(Duration.ofSeconds(5));
			assertThat(names(), contains("one"));
		}

		@Test
		void aLapsedUpstreamThatDoesNotIsGoneAfterTheTimeToRegister() {
			list(record("one", 1), record("two", 2));
			FollowedHostListTests.this.hosts.lost();
			FollowedHostListTests.this.hosts.regained();
			list(record("two", 2));
			pass(Duration.ofMillis(2_500));
			assertThat(names(), contains("two"));
		}

	}

}
