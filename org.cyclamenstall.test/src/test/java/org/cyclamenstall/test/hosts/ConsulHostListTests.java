package org.cyclamenstall.test.hosts;

import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.hosts.ConsulHostList;
import org.cyclamenstall.settings.HostListSettings;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.HostListFaults;
import org.cyclamenstall.standin.platform.HostListStandin;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ConsulHostList} with the host list stand-in.
 */
class ConsulHostListTests {

	private static final String SERVICE = "cuptor";

	private final HostListStandin standin = new HostListStandin("host-list", "127.0.0.1", 0);

	private final ConsulHostList hostList = new ConsulHostList(
			new HostListSettings("consul", "127.0.0.1", this.standin.port(), "cyclamenstall", 50, 500),
			new PrometheusRegistry(), RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	@BeforeEach
	void start() {
		this.standin.setHosts(SERVICE, List.of(host("cuptor-1", ListedService.LIVE)));
		this.hostList.watch(SERVICE);
		this.hostList.start();
		ConditionWaiter.await(() -> hosts().size() == 1, () -> "the first list was not read");
	}

	@AfterEach
	void close() {
		this.hostList.close();
		this.standin.close();
	}

	private static ListedService host(String name, String state) {
		return new ListedService(name, "127.0.0.9", 1234, "ro-central-a", state);
	}

	private List<ListedHost> hosts() {
		return this.hostList.current().hosts(SERVICE);
	}

	@Nested
	class WhenTheListChanges {

		@Test
		void aLeavingHostIsReported() {
			ConsulHostListTests.this.standin.putHost(SERVICE, host("cuptor-1", ListedService.LEAVING));
			ConditionWaiter.await(() -> hosts().get(0).state() == HostState.LEAVING, () -> "cuptor-1 is not leaving");
		}

		@Test
		void aServiceAddedLaterIsRead() {
			ConsulHostListTests.this.standin.setHosts("ghiseu", List.of(host("ghiseu-1", ListedService.LIVE)));
			ConsulHostListTests.this.hostList.watch("ghiseu");
			ConditionWaiter.await(() -> ConsulHostListTests.this.hostList.current().hosts("ghiseu").size() == 1,
					() -> "the hosts of ghiseu were not read");
		}

		@Test
		void aFailingListenerDoesNotStopUpdates() {
			ConsulHostListTests.this.hostList.addListener((snapshot) -> {
				throw new IllegalStateException("injected");
			});
			ConsulHostListTests.this.standin.putHost(SERVICE, host("cuptor-2", ListedService.LIVE));
			ConditionWaiter.await(() -> hosts().size() == 2, () -> "the list does not have two hosts");
			ConsulHostListTests.this.standin.putHost(SERVICE, host("cuptor-3", ListedService.LIVE));
			ConditionWaiter.await(() -> hosts().size() == 3, () -> "the list does not have three hosts");
		}

	}

	@Nested
	class WhenThePlatformFails {

		@Test
		void theLastListIsKeptDuringAnOutage() {
			ConsulHostListTests.this.standin.setFaults(new HostListFaults(Availability.REFUSING, null, null));
			ConditionWaiter.await(() -> readCount("unavailable") >= 3, () -> "fewer than three failed reads");
			assertThat(hosts().size(), is(1));
			ConsulHostListTests.this.standin.setFaults(HostListFaults.NONE);
			ConsulHostListTests.this.standin.putHost(SERVICE, host("cuptor-2", ListedService.LIVE));
			ConditionWaiter.await(() -> hosts().size() == 2, () -> "the list does not have two hosts");
		}

		@Test
		void anEmptyListIsCountedAndIgnored() {
			ConsulHostListTests.this.standin.setHosts(SERVICE, List.of());
			ConditionWaiter.await(() -> readCount("emptied") >= 1, () -> "the empty list was not counted");
			assertThat(hosts().size(), is(1));
		}

		private double readCount(String result) {
			return ConsulHostListTests.this.hostList.readCount(SERVICE, result);
		}

	}

}
