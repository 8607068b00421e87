package org.cyclamenstall.test.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.watch.WatchedHostList;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the host list while one of its listeners throws an exception.
 */
class WatchListenerFailureTests {

	private static final String SERVICE = "ghiseu";

	private final WatchedHostList hosts = new WatchedHostList("upstreams/",
			(record) -> Optional.of(new ListedHost(SERVICE, "host", "127.0.0.1", 1, "domain", HostState.LIVE)),
			new ManualClock(), EventLog.NONE);

	@Test
	void anExceptionOfAListenerFailsThePollAndHidesTheListFromTheOthers() {
		List<HostSnapshot> received = new ArrayList<>();
		this.hosts.addListener((snapshot) -> {
			throw new IllegalStateException("thrown by the test");
		});
		this.hosts.addListener(received::add);
		this.hosts.onListing(new StoreListing(List.of(new StoreRecord("upstreams/host", new byte[0], 1)), 1));
		assertThat(this.hosts.isListed(), is(true));
		assertThat(received, hasSize(1));
	}

}
