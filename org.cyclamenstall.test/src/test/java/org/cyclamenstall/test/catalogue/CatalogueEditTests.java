package org.cyclamenstall.test.catalogue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.catalogue.CatalogueChange;
import org.cyclamenstall.internal.catalogue.CatalogueEditAnswer;
import org.cyclamenstall.internal.catalogue.CatalogueEditCommand;
import org.cyclamenstall.internal.catalogue.CatalogueEditResult;
import org.cyclamenstall.internal.catalogue.CatalogueHead;
import org.cyclamenstall.internal.catalogue.EditSummary;
import org.cyclamenstall.junit.InMemoryConfigurationStore;
import org.cyclamenstall.junit.StoreFault;
import org.cyclamenstall.junit.StoreOperation;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.oneOf;

/**
 * Tests of {@link CatalogueEditCommand} over a store that fails.
 */
class CatalogueEditTests {

	private static final Duration SHORT = Duration.ofMillis(300);

	private final InMemoryConfigurationStore store = new InMemoryConfigurationStore();

	private final CatalogueHost first = new CatalogueHost(this.store);

	private final CatalogueHost second = new CatalogueHost(this.store);

	static Stream<List<Placement>> placements() {
		List<List<Placement>> all = new ArrayList<>();
		StoreFault[] faults = { StoreFault.REQUEST_LOST, StoreFault.ANSWER_LOST, StoreFault.EFFECT_LATE,
				StoreFault.CONFLICT };
		for (int call = 1; call <= 7; call++) {
			for (StoreFault fault : faults) {
				for (int later = call + 1; later <= 9; later++) {
					for (StoreFault next : faults) {
						all.add(List.of(new Placement(call, fault), new Placement(later, next)));
					}
				}
			}
		}
		return all.stream();
	}

	private void beforeFirstSwap(Runnable action) {
		this.store.setBeforeEffect((call) -> {
			if (call.operation() == StoreOperation.SWAP) {
				this.store.setBeforeEffect((any) -> {
				});
				action.run();
			}
		});
	}

	private long occurrences(String editId) {
		CatalogueHead head = this.first.stored.readHead().value();
		long announced = head.changes()
			.stream()
			.map(CatalogueChange::record)
			.map(CatalogueRecord::editId)
			.filter(editId::equals)
			.count();
		long written = this.first.stored.readEntry("orders")
			.map((entry) -> entry.value().history().stream().map(EditSummary::editId).filter(editId::equals).count())
			.orElse(0L);
		return Math.max(announced, written);
	}

	private static CatalogueEntry renamed(String name, String pathPrefix) {
		CatalogueEntry entry = CatalogueHost.service(name, "maria");
		return new CatalogueEntry(name, entry.kind(), entry.owner(), entry.tier(), null, entry.upstreams(), null, null,
				null, null, pathPrefix, null, null, null, null, null);
	}

	private static long revision(@Nullable CatalogueEditAnswer answer) {
		return answer.record().revision();
	}

	@Nested
	class WhenAnswersAreLost {

		@ParameterizedTest
		@EnumSource(value = StoreFault.class, names = { "REQUEST_LOST", "ANSWER_LOST", "EFFECT_LATE", "UNAVAILABLE" })
		void editIsAcceptedOnce(StoreFault fault) {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("other", "ion"));
			CatalogueEditTests.this.store.queueFault(StoreOperation.SWAP, fault);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.applyLateWrites();
			assertThat(answer.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(occurrences("edit-1"), is(1L));
		}

		@ParameterizedTest
		@MethodSource("org.cyclamenstall.test.catalogue.CatalogueEditTests#placements")
		void everyPlacementOfTwoFaultsIsSettledByRepeatingTheEdit(List<Placement> placements) {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("other", "ion"));
			long before = CatalogueEditTests.this.store.calls().size();
			CatalogueEditTests.this.store.setPlan((call) -> placements.stream()
				.filter((placement) -> call.number() == before + placement.call())
				.map(Placement::fault)
				.findFirst()
				.orElse(StoreFault.NONE));
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.putWithin(SHORT, "edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.applyLateWrites();
			assertThat(answer.result(), is(oneOf(CatalogueEditResult.ACCEPTED, CatalogueEditResult.UNKNOWN)));
			CatalogueEditAnswer repeated = CatalogueEditTests.this.second.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(repeated.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(occurrences("edit-1"), is(1L));
		}

		@Test
		void anUnavailableStoreLeavesNothingBehind() {
			CatalogueEditTests.this.store.setFault(StoreFault.UNAVAILABLE);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.putWithin(SHORT, "edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.setFault(StoreFault.NONE);
			assertThat(answer.result(), is(CatalogueEditResult.UNAVAILABLE));
			assertThat(occurrences("edit-1"), is(0L));
		}

		@Test
		void aWriteThatMayStillArriveIsReportedAsUnknown() {
			CatalogueEditTests.this.store.setFault(StoreOperation.CREATE, StoreFault.EFFECT_LATE);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.putWithin(SHORT, "edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(answer.result(), is(CatalogueEditResult.UNKNOWN));
			CatalogueEditTests.this.store.applyLateWrites();
			assertThat(occurrences("edit-1"), is(1L));
		}

		@Test
		void anEditThatWasReplacedSinceIsStillKnown() {
			CatalogueEditTests.this.first.put("edit-1", CatalogueHost.service("orders", "ion"));
			for (int number = 2; number < CatalogueHead.MAXIMUM_CHANGES; number++) {
				CatalogueEditTests.this.first.put("edit-" + number, CatalogueHost.service("orders", "ion" + number));
			}
			CatalogueEditAnswer repeated = CatalogueEditTests.this.second.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(repeated.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(revision(repeated), is(1L));
		}

	}

	@Nested
	class WhenAnEditIsRepeatedOnAnotherHost {

		@Test
		void thatHostHoldsAllEditsUpToTheRevisionThatItReports() {
			for (int number = 1; number <= 3; number++) {
				CatalogueEditTests.this.first.put("edit-" + number, CatalogueHost.service("service-" + number, "ion"));
			}
			CatalogueEditTests.this.second.put("edit-3", CatalogueHost.service("service-3", "ion"));
			assertThat(CatalogueEditTests.this.second.replica.summary().revision(), is(3L));
			assertThat(CatalogueEditTests.this.second.owner("service-1"), is("ion"));
		}

	}

	@Nested
	class WhenOperatorsRace {

		@Test
		void theLoserOnOneEntryIsShownTheWinner() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("orders", "ion"));
			AtomicReference<@Nullable CatalogueEditAnswer> winner = new AtomicReference<>();
			beforeFirstSwap(() -> winner
				.set(CatalogueEditTests.this.second.put("edit-2", CatalogueHost.service("orders", "maria"))));
			CatalogueEditAnswer loser = CatalogueEditTests.this.first.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(loser.result(), is(CatalogueEditResult.CONFLICT));
			assertThat(loser.record(), is(winner.get().record()));
			assertThat(occurrences("edit-1"), is(0L));
		}

		@Test
		void bothOnDifferentEntriesAreInForce() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("other", "ion"));
			AtomicReference<@Nullable CatalogueEditAnswer> rival = new AtomicReference<>();
			beforeFirstSwap(() -> rival
				.set(CatalogueEditTests.this.second.put("edit-2", CatalogueHost.service("bookings", "maria"))));
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(answer.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(revision(answer), is(revision(rival.get()) + 1));
			assertThat(CatalogueEditTests.this.first.owner("bookings"), is("maria"));
		}

		@Test
		void theSamePathCannotBeTakenTwice() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("other", "ion"));
			beforeFirstSwap(() -> CatalogueEditTests.this.second.put("edit-2", renamed("bookings", "/orders")));
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(answer.result(), is(CatalogueEditResult.INVALID));
			assertThat(answer.faults().toString(), containsString("already used by entry bookings"));
		}

		@Test
		void anExpectedRevisionThatHasPassedIsAConflict() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("orders", "ion"));
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.edit("edit-1")
				.setEntry(CatalogueHost.service("orders", "maria"))
				.setExpectedRevision(0L)
				.call();
			assertThat(answer.result(), is(CatalogueEditResult.CONFLICT));
		}

		@Test
		void aDeletedEntryCanBeCreatedAgain() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.first.edit("edit-1").setDeletedName("orders").call();
			assertThat(CatalogueEditTests.this.first.owner("orders"), is("none"));
			CatalogueEditAnswer answer = CatalogueEditTests.this.second.edit("edit-2")
				.setEntry(CatalogueHost.service("orders", "maria"))
				.setExpectedRevision(0L)
				.call();
			assertThat(answer.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(revision(answer), is(3L));
		}

	}

	@Nested
	class WhenTheWriterEndsInTheMiddle {

		@Test
		void theNextEditWritesTheKeyOfTheEntry() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("other", "ion"));
			CatalogueEditTests.this.store.setFault(StoreOperation.CREATE, StoreFault.UNAVAILABLE);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.setFault(StoreOperation.CREATE, StoreFault.NONE);
			assertThat(answer.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(CatalogueEditTests.this.first.stored.readEntry("orders").isPresent(), is(false));
			CatalogueEditTests.this.second.put("edit-2", CatalogueHost.service("bookings", "maria"));
			assertThat(CatalogueEditTests.this.first.stored.readEntry("orders").isPresent(), is(true));
		}

	}

	@Nested
	class WhenTheStoreWasPutBack {

		@Test
		void theNextEditTakesAHigherRevisionAndNothingReverts() {
			CatalogueEditTests.this.first.put("edit-1", CatalogueHost.service("orders", "ion"));
			List<StoreRecord> older = CatalogueEditTests.this.store.snapshot();
			CatalogueEditTests.this.first.put("edit-2", CatalogueHost.service("orders", "maria"));
			CatalogueEditTests.this.first.put("edit-3", CatalogueHost.service("bookings", "maria"));
			CatalogueEditTests.this.store.restore(older);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.put("edit-4",
					CatalogueHost.service("lookups", "ion"));
			assertThat(answer.result(), is(CatalogueEditResult.ACCEPTED));
			assertThat(revision(answer), is(4L));
			CatalogueEditTests.this.second.put("edit-5", CatalogueHost.service("digests", "ion"));
			assertThat(CatalogueEditTests.this.second.owner("orders"), equalTo("maria"));
			assertThat(CatalogueEditTests.this.second.owner("bookings"), equalTo("maria"));
		}

		@Test
		void aDaemonThatLacksWhatALiveHostHoldsAcceptsNothing() {
			CatalogueEditTests.this.first.put("edit-1", CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.first.membership.put("host-2", MemberState.ALIVE, 7);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.putWithin(SHORT, "edit-2",
					CatalogueHost.service("orders", "maria"));
			assertThat(answer.result(), is(CatalogueEditResult.UNAVAILABLE));
			assertThat(answer.detail(), containsString("live hosts are at 7"));
			assertThat(occurrences("edit-2"), is(0L));
		}

		@Test
		void theRevisionOfASilentHostIsNotUsedAgain() {
			CatalogueEditTests.this.first.membership.put("host-2", MemberState.SUSPECT, 7);
			CatalogueEditAnswer answer = CatalogueEditTests.this.first.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(revision(answer), is(greaterThan(7L)));
		}

	}

	@Nested
	class WhenEntriesAreLarge {

		@Test
		void theHeadStaysFarBelowTheLargestValueOfTheStore() {
			for (int number = 0; number < 6; number++) {
				CatalogueEditTests.this.first.put("edit-" + number, largeAccount(number));
			}
			for (StoreRecord record : CatalogueEditTests.this.store.snapshot()) {
				assertThat(record.value().length, is(lessThanOrEqualTo(262_144)));
			}
			CatalogueEditTests.this.second.put("edit-6", CatalogueHost.service("orders", "ion"));
			assertThat(CatalogueEditTests.this.second.replica.recordsAfter(0).size(), is(7));
		}

		private CatalogueEntry largeAccount(int number) {
			Set<String> entries = IntStream.range(0, 1_024)
				.mapToObj((index) -> "an-entry-with-a-long-name-that-fills-the-head-of-the-list-%06d".formatted(index))
				.collect(Collectors.toSet());
			return new CatalogueEntry("account-" + number, EntryKind.ACCOUNT, "ion", Tier.BULK, null, null, null, null,
					null, null, null, null, null, null, List.of("%064d".formatted(number)), entries);
		}

	}

	@Nested
	class WhenNothingFails {

		@Test
		void anEditTakesAtMostSixStoreCalls() {
			CatalogueEditTests.this.first.put("edit-0", CatalogueHost.service("orders", "ion"));
			int before = CatalogueEditTests.this.store.calls().size();
			CatalogueEditTests.this.first.put("edit-1", CatalogueHost.service("orders", "maria"));
			assertThat(CatalogueEditTests.this.store.calls().size() - before, is(lessThanOrEqualTo(6)));
		}

	}

	/**
	 * Places a fault.
	 *
	 * @param call the number of the call, from one
	 * @param fault the fault
	 */
	record Placement(int call, StoreFault fault) {

	}

}
