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
import org.cyclamenstall.standin.site.OperatorAnswer;
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
 * Tests that an accepted edit comes into force on every daemon and stays in force.
 */
class CatalogueInForceTests {

	private static final int DAEMONS = 3;

	private static final String CATALOGUE_WRITE = "PUT \\S*/catalogue/";

	private static final String ENTRY = "edited";

	private static final StoreFaults STORE_DOWN = new StoreFaults(Availability.REFUSING, null, null, null, null, null);

	private static TestSite site;

	private static int edits;

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

	private static String nextEntry() {
		edits++;
		return TestSite.modelEntry(ENTRY, "bulk", true) + "limits:\n  concurrentRequests: " + edits + "\n";
	}

	private static long put(int daemon) {
		OperatorAnswer answer = site.daemon(daemon).operators().putEntry(ENTRY, nextEntry());
		assertThat(answer.toString(), answer.status(), is(200));
		return answer.json().path("revision").asLong();
	}

	private static int inForce(int daemon) {
		return site.daemon(daemon)
			.operators()
			.get("/v1/catalogue/" + ENTRY)
			.json()
			.at("/entry/limits/concurrentRequests")
			.asInt();
	}

	private static void awaitInForce(int daemon, int edit) {
		ConditionWaiter.await(() -> inForce(daemon) == edit,
				() -> "daemon " + daemon + " has edit " + inForce(daemon) + " and not " + edit);
	}

	private static void awaitInForceEverywhere(int edit) {
		IntStream.range(0, DAEMONS).forEach((daemon) -> awaitInForce(daemon, edit));
	}

	private static void assertConverged() {
		long highest = site.site().daemons().stream().mapToLong(DaemonInstance::catalogueRevision).max().orElse(0);
		site.site().daemons().forEach((daemon) -> daemon.awaitRevision(highest));
		List<String> digests = site.site()
			.daemons()
			.stream()
			.map((daemon) -> daemon.operators().get("/v1/status").json().path("catalogueDigest").asText())
			.distinct()
			.toList();
		assertThat(digests.size(), is(1));
	}

	@Nested
	class WithoutFaults {

		@Test
		void acceptanceNamesTheHostsOnWhichItIsInForce() {
			OperatorAnswer answer = site.daemon(1).operators().putEntry(ENTRY, nextEntry());
			List<String> hosts = new java.util.ArrayList<>();
			answer.json().path("inForce").forEach((host) -> hosts.add(host.asText()));
			assertThat(answer.toString(), hosts, containsInAnyOrder("entry-1", "entry-2", "entry-3"));
			awaitInForceEverywhere(edits);
		}

		@Test
		void anEditThatFailsItsChecksIsRefusedWhole() {
			int before = edits;
			put(0);
			OperatorAnswer refused = site.daemon(0).operators().putEntry(ENTRY, nextEntry() + "unknownField: 1\n");
			assertThat(refused.toString(), refused.status(), is(422));
			awaitInForceEverywhere(before + 1);
		}

	}

	@Nested
	class WhenTwoOperatorsRace {

		@Test
		void oneWinsEverywhereAndTheOtherSeesTheWinner() {
			long revision = put(0);
			String first = nextEntry();
			int firstEdit = edits;
			String second = nextEntry();
			CompletableFuture<OperatorAnswer> one = CompletableFuture
				.supplyAsync(() -> site.daemon(0).operators().putEntry(ENTRY, first, revision));
			CompletableFuture<OperatorAnswer> other = CompletableFuture
				.supplyAsync(() -> site.daemon(1).operators().putEntry(ENTRY, second, revision));
			List<OperatorAnswer> answers = List.of(one.join(), other.join());
			assertThat(answers.toString(), answers.stream().map(OperatorAnswer::status).toList(),
					containsInAnyOrder(200, 409));
			OperatorAnswer loser = (answers.get(0).status() == 409) ? answers.get(0) : answers.get(1);
			int winner = (loser == answers.get(0)) ? edits : firstEdit;
			assertThat(loser.json().at("/error/winner/entry/limits/concurrentRequests").asInt(), is(winner));
			awaitInForceEverywhere(winner);
		}

	}

	@Nested
	class WhenTheStoreLosesAnswers {

		@Test
		void aLostAnswerIsSettledByReadingBack() {
			FaultRule lost = site.daemon(0)
				.storeProxy()
				.add(FaultRule.on(Direction.ANSWER, FaultAction.RESET).matching(CATALOGUE_WRITE).times(1).build());
			put(0);
			assertThat(lost.hits(), is(1));
			awaitInForceEverywhere(edits);
		}

		@Test
		void anEditThatCannotBeSettledIsUnknownAndTheDaemonsAgree() {
			site.daemon(0)
				.storeProxy()
				.add(FaultRule.on(Direction.ANSWER, FaultAction.RESET).matching("/catalogue/").build());
			OperatorAnswer answer = site.daemon(0).operators().putEntry(ENTRY, nextEntry());
			assertThat(answer.toString(), answer.status(), not(200));
			site.restore();
			put(1);
			awaitInForceEverywhere(edits);
			assertConverged();
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void anEditIsRefusedAndTheOldOneStays() {
			put(0);
			int before = edits;
			site.site().store().setFaults(STORE_DOWN);
			OperatorAnswer refused = site.daemon(0).operators().putEntry(ENTRY, nextEntry());
			assertThat(refused.toString(), refused.status(), is(503));
			IntStream.range(0, DAEMONS).forEach((daemon) -> assertThat(inForce(daemon), is(before)));
		}

		@Test
		void anAcceptedEditReachesTheOthersThroughTheirPeers() {
			site.daemon(1).storeProxy().cut();
			site.daemon(2).storeProxy().cut();
			FaultRule held = site.daemon(0)
				.storeProxy()
				.add(FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching("index=\\d").build());
			put(0);
			site.site().store().setFaults(STORE_DOWN);
			awaitInForceEverywhere(edits);
			held.release();
		}

		@Test
		void aRestartedHostTakesTheCatalogueFromItsPeers() {
			long revision = put(0);
			awaitInForceEverywhere(edits);
			site.daemon(2).process().kill();
			site.site().store().setFaults(STORE_DOWN);
			site.daemon(2).start();
			site.daemon(2).awaitReady();
			assertThat(site.daemon(2).catalogueRevision(), greaterThanOrEqualTo(revision));
			awaitInForce(2, edits);
		}

		@Test
		void aHostWithNeitherStoreNorPeersIsNotReady() {
			site.daemon(2).process().kill();
			site.site().store().setFaults(STORE_DOWN);
			site.site().cutFromPeers(2);
			site.daemon(2).start();
			site.daemon(2).awaitListening();
			assertThat(site.daemon(2).operators().isReady(), is(false));
			assertThat(site.caller(2).lookUp(TestSite.BOOKINGS + "/1").errorKind(), is("not-ready"));
		}

	}

	@Nested
	class WhenAHostIsPaused {

		@Test
		void itIsNamedAsPendingOrSuspectAndCatchesUp() {
			put(0);
			awaitInForceEverywhere(edits);
			site.daemon(2).process().freeze();
			OperatorAnswer answer = site.daemon(0).operators().putEntry(ENTRY, nextEntry());
			assertThat(answer.toString(), answer.status(), is(200));
			List<String> hosts = new java.util.ArrayList<>();
			answer.json().path("inForce").forEach((host) -> hosts.add(host.asText()));
			assertThat(hosts, hasItem("entry-2"));
			assertThat(hosts, not(hasItem("entry-3")));
			site.daemon(2).process().thaw();
			awaitInForceEverywhere(edits);
		}

	}

	@Nested
	class WhenTheStoreIsPutBackToAnOlderState {

		@Test
		void noHostRevertsAndALaterEditComesIntoForce() {
			put(0);
			site.site().store().takeSnapshot();
			long revision = put(0);
			int later = edits;
			awaitInForceEverywhere(later);
			site.site().store().restoreSnapshot();
			OperatorAnswer other = site.daemon(1)
				.operators()
				.putEntry("other", TestSite.modelEntry("other", "bulk", true));
			assertThat(other.toString(), other.status(), is(200));
			assertThat(other.json().path("revision").asLong(), greaterThan(revision));
			IntStream.range(0, DAEMONS).forEach((daemon) -> assertThat(inForce(daemon), is(later)));
			site.daemon(2).process().kill();
			site.daemon(2).start();
			site.daemon(2).awaitReady();
			awaitInForce(2, later);
			put(0);
			awaitInForceEverywhere(edits);
			assertConverged();
		}

		@Test
		void aStaleReadRevertsNothing() {
			site.site().store().setFaults(new StoreFaults(null, null, null, null, null, true));
			long before = site.daemon(1).catalogueRevision();
			OperatorAnswer answer = site.daemon(0).operators().putEntry(ENTRY, nextEntry());
			site.site()
				.daemons()
				.forEach((daemon) -> assertThat(daemon.catalogueRevision(), greaterThanOrEqualTo(before)));
			site.restore();
			if (answer.isAccepted()) {
				awaitInForceEverywhere(edits);
			}
			assertConverged();
		}

	}

	@Nested
	class WhenAHostIsCutOff {

		@Test
		void fromTheStoreItHearsFromItsPeers() {
			site.daemon(2).storeProxy().cut();
			put(0);
			awaitInForceEverywhere(edits);
		}

		@Test
		void fromItsPeersItHearsFromTheStore() {
			site.site().cutFromPeers(2);
			put(0);
			awaitInForceEverywhere(edits);
		}

		@Test
		void fromBothItCatchesUpAfterwards() {
			put(0);
			int before = edits;
			awaitInForceEverywhere(before);
			site.daemon(2).storeProxy().cut();
			site.site().cutFromPeers(2);
			put(0);
			awaitInForce(1, edits);
			assertThat(inForce(2), is(before));
			site.site().clearFaults();
			awaitInForce(2, edits);
		}

	}

}
