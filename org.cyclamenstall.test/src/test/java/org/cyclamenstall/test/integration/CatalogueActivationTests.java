package org.cyclamenstall.test.integration;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.standin.site.DaemonInstance;
import org.cyclamenstall.standin.site.OperatorResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests that an accepted catalogue edit becomes active on every daemon and stays active.
 */
class CatalogueActivationTests {

	private static final int DAEMONS = 3;

	private static final String CATALOGUE_WRITE = "PUT \\S*/catalogue/";

	private static final String ENTRY = "edited";

	private static final StoreFaults STORE_DOWN = new StoreFaults(Availability.REFUSING, null, null, null, null, null);

	private static TestSite site;

	private static int latestEdit;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(DAEMONS));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void restore() {
		site.restore();
	}

	private static String nextEditOfEntry() {
		latestEdit++;
		return TestSite.modelEntry(ENTRY, "bulk", true) + "limits:\n  concurrentRequests: " + latestEdit + "\n";
	}

	private static long putNextEdit(int daemon) {
		OperatorResponse response = site.daemon(daemon).operatorClient().putEntry(ENTRY, nextEditOfEntry());
		assertThat(response.toString(), response.status(), is(200));
		return response.json().path("revision").asLong();
	}

	private static int activeEdit(int daemon) {
		return site.daemon(daemon)
			.operatorClient()
			.get("/v1/catalogue/" + ENTRY)
			.json()
			.at("/entry/limits/concurrentRequests")
			.asInt();
	}

	private static void awaitActive(int daemon, int edit) {
		ConditionWaiter.await(() -> activeEdit(daemon) == edit,
				() -> "daemon " + daemon + " has edit " + activeEdit(daemon) + " instead of " + edit);
	}

	private static void awaitActiveEverywhere(int edit) {
		IntStream.range(0, DAEMONS).forEach((daemon) -> awaitActive(daemon, edit));
	}

	private static void assertConverged() {
		long highest = site.site().daemons().stream().mapToLong(DaemonInstance::catalogueRevision).max().orElse(0);
		site.site().daemons().forEach((daemon) -> daemon.awaitRevision(highest));
		List<String> digests = site.site()
			.daemons()
			.stream()
			.map((daemon) -> daemon.operatorClient().get("/v1/status").json().path("catalogueDigest").asText())
			.distinct()
			.toList();
		assertThat(digests.size(), is(1));
	}

	@Nested
	class WithoutFaults {

		@Test
		void theResponseListsTheHostsOnWhichTheEditIsActive() {
			OperatorResponse response = site.daemon(1).operatorClient().putEntry(ENTRY, nextEditOfEntry());
			List<String> hosts = new java.util.ArrayList<>();
			response.json().path("inForce").forEach((host) -> hosts.add(host.asText()));
			assertThat(response.toString(), hosts, containsInAnyOrder("entry-1", "entry-2", "entry-3"));
			awaitActiveEverywhere(latestEdit);
		}

		@Test
		void anInvalidEditIsRejectedEntirely() {
			int editBefore = latestEdit;
			putNextEdit(0);
			OperatorResponse rejected = site.daemon(0)
				.operatorClient()
				.putEntry(ENTRY, nextEditOfEntry() + "unknownField: 1\n");
			assertThat(rejected.toString(), rejected.status(), is(422));
			awaitActiveEverywhere(editBefore + 1);
		}

	}

	@Nested
	class WhenEditsAreConcurrent {

		@Test
		void oneEditWinsOnEveryHostAndTheOtherIsRejectedWithTheWinner() {
			long revision = putNextEdit(0);
			String first = nextEditOfEntry();
			int firstEdit = latestEdit;
			String second = nextEditOfEntry();
			CompletableFuture<OperatorResponse> firstResult = CompletableFuture
				.supplyAsync(() -> site.daemon(0).operatorClient().putEntry(ENTRY, first, revision));
			CompletableFuture<OperatorResponse> secondResult = CompletableFuture
				.supplyAsync(() -> site.daemon(1).operatorClient().putEntry(ENTRY, second, revision));
			List<OperatorResponse> responses = List.of(firstResult.join(), secondResult.join());
			assertThat(responses.toString(), responses.stream().map(OperatorResponse::status).toList(),
					containsInAnyOrder(200, 409));
			OperatorResponse conflictResponse = (responses.get(0).status() == 409) ? responses.get(0)
					: responses.get(1);
			int winningEdit = (conflictResponse == responses.get(0)) ? latestEdit : firstEdit;
			assertThat(conflictResponse.json().at("/error/winner/entry/limits/concurrentRequests").asInt(),
					is(winningEdit));
			awaitActiveEverywhere(winningEdit);
		}

	}

	@Nested
	class WhenResponsesOfTheStoreAreLost {

		@Test
		void aLostResponseIsResolvedByReadingBack() {
			FaultRule lostResponse = site.daemon(0)
				.storeProxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.RESET)
					.requestMatching(CATALOGUE_WRITE)
					.times(1)
					.build());
			putNextEdit(0);
			assertThat(lostResponse.hits(), is(1));
			awaitActiveEverywhere(latestEdit);
		}

		@Test
		void anEditThatCannotBeReadBackIsNotAcceptedAndTheDaemonsConverge() {
			site.daemon(0)
				.storeProxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.RESET).requestMatching("/catalogue/").build());
			OperatorResponse response = site.daemon(0).operatorClient().putEntry(ENTRY, nextEditOfEntry());
			assertThat(response.toString(), response.status(), not(200));
			site.restore();
			putNextEdit(1);
			awaitActiveEverywhere(latestEdit);
			assertConverged();
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void anEditIsRejectedAndTheOldEntryStaysActive() {
			putNextEdit(0);
			int editBefore = latestEdit;
			site.site().store().setFaults(STORE_DOWN);
			OperatorResponse rejected = site.daemon(0).operatorClient().putEntry(ENTRY, nextEditOfEntry());
			assertThat(rejected.toString(), rejected.status(), is(503));
			IntStream.range(0, DAEMONS).forEach((daemon) -> assertThat(activeEdit(daemon), is(editBefore)));
		}

		@Test
		void anAcceptedEditReachesTheOtherHostsThroughPeers() {
			site.daemon(1).storeProxy().resetUntilRestored();
			site.daemon(2).storeProxy().resetUntilRestored();
			FaultRule holdRule = site.daemon(0)
				.storeProxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching("index=\\d").build());
			putNextEdit(0);
			site.site().store().setFaults(STORE_DOWN);
			awaitActiveEverywhere(latestEdit);
			holdRule.release();
		}

		@Test
		void aRestartedHostLoadsTheCatalogueFromItsPeers() {
			long revision = putNextEdit(0);
			awaitActiveEverywhere(latestEdit);
			site.daemon(2).process().kill();
			site.site().store().setFaults(STORE_DOWN);
			site.daemon(2).start();
			site.daemon(2).awaitReady();
			assertThat(site.daemon(2).catalogueRevision(), greaterThanOrEqualTo(revision));
			awaitActive(2, latestEdit);
		}

		@Test
		void aHostWithNeitherStoreNorPeersIsNotReady() {
			site.daemon(2).process().kill();
			site.site().store().setFaults(STORE_DOWN);
			site.site().isolateFromPeers(2);
			site.daemon(2).start();
			site.daemon(2).awaitListening();
			assertThat(site.daemon(2).operatorClient().isReady(), is(false));
			assertThat(site.caller(2).get(TestSite.BOOKINGS + "/1").errorKind(), is("not-ready"));
		}

	}

	@Nested
	class WhenAHostIsPaused {

		@Test
		void theEditIsNotReportedAsActiveThereAndTheHostCatchesUp() {
			putNextEdit(0);
			awaitActiveEverywhere(latestEdit);
			site.daemon(2).process().suspend();
			OperatorResponse response = site.daemon(0).operatorClient().putEntry(ENTRY, nextEditOfEntry());
			assertThat(response.toString(), response.status(), is(200));
			List<String> hosts = new java.util.ArrayList<>();
			response.json().path("inForce").forEach((host) -> hosts.add(host.asText()));
			assertThat(hosts, hasItem("entry-2"));
			assertThat(hosts, not(hasItem("entry-3")));
			site.daemon(2).process().resume();
			awaitActiveEverywhere(latestEdit);
		}

	}

	@Nested
	class WhenTheStoreIsRestoredToAnOlderState {

		@Test
		void noHostRevertsAndALaterEditBecomesActive() {
			putNextEdit(0);
			site.site().store().takeSnapshot();
			long revision = putNextEdit(0);
			int laterEdit = latestEdit;
			awaitActiveEverywhere(laterEdit);
			site.site().store().restoreSnapshot();
			OperatorResponse otherEntryResponse = site.daemon(1)
				.operatorClient()
				.putEntry("other", TestSite.modelEntry("other", "bulk", true));
			assertThat(otherEntryResponse.toString(), otherEntryResponse.status(), is(200));
			assertThat(otherEntryResponse.json().path("revision").asLong(), greaterThan(revision));
			IntStream.range(0, DAEMONS).forEach((daemon) -> assertThat(activeEdit(daemon), is(laterEdit)));
			site.daemon(2).process().kill();
			site.daemon(2).start();
			site.daemon(2).awaitReady();
			awaitActive(2, laterEdit);
			putNextEdit(0);
			awaitActiveEverywhere(latestEdit);
			assertConverged();
		}

		@Test
		void aStaleReadRevertsNothing() {
			site.site().store().setFaults(new StoreFaults(null, null, null, null, null, true));
			long revisionBefore = site.daemon(1).catalogueRevision();
			OperatorResponse response = site.daemon(0).operatorClient().putEntry(ENTRY, nextEditOfEntry());
			site.site()
				.daemons()
				.forEach((daemon) -> assertThat(daemon.catalogueRevision(), greaterThanOrEqualTo(revisionBefore)));
			site.restore();
			if (response.isSuccess()) {
				awaitActiveEverywhere(latestEdit);
			}
			assertConverged();
		}

	}

	@Nested
	class WhenAHostIsIsolated {

		@Test
		void aHostWithoutStoreReceivesEditsFromItsPeers() {
			site.daemon(2).storeProxy().resetUntilRestored();
			putNextEdit(0);
			awaitActiveEverywhere(latestEdit);
		}

		@Test
		void aHostWithoutPeersReceivesEditsFromTheStore() {
			site.site().isolateFromPeers(2);
			putNextEdit(0);
			awaitActiveEverywhere(latestEdit);
		}

		@Test
		void aHostWithNeitherStoreNorPeersCatchesUpAfterReconnecting() {
			putNextEdit(0);
			int editBefore = latestEdit;
			awaitActiveEverywhere(editBefore);
			site.daemon(2).storeProxy().resetUntilRestored();
			site.site().isolateFromPeers(2);
			putNextEdit(0);
			awaitActive(1, latestEdit);
			assertThat(activeEdit(2), is(editBefore));
			site.site().clearFaults();
			awaitActive(2, latestEdit);
		}

	}

}
