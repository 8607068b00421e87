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
import org.cyclamenstall.internal.catalogue.CatalogueEditCommand;
import org.cyclamenstall.internal.catalogue.CatalogueEditOutcome;
import org.cyclamenstall.internal.catalogue.CatalogueEditStatus;
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
 * Tests of {@link CatalogueEditCommand} with concurrent edits, store faults and a
 * restored store.
 */
class CatalogueEditTests {

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

	private final InMemoryConfigurationStore store = new InMemoryConfigurationStore();

	private final CatalogueHost firstHost = new CatalogueHost(this.store);

	private final CatalogueHost secondHost = new CatalogueHost(this.store);

	static Stream<List<InjectedFault>> faultPairs() {
		List<List<InjectedFault>> combinations = new ArrayList<>();
		StoreFault[] faults = { StoreFault.REQUEST_LOST, StoreFault.RESPONSE_LOST, StoreFault.WRITE_DELAYED,
				StoreFault.CONFLICT };
		for (int call = 1; call <= 7; call++) {
			for (StoreFault fault : faults) {
				for (int laterCall = call + 1; laterCall <= 9; laterCall++) {
					for (StoreFault laterFault : faults) {
						combinations
							.add(List.of(new InjectedFault(call, fault), new InjectedFault(laterCall, laterFault)));
					}
				}
			}
		}
		return combinations.stream();
	}

	private void beforeFirstSwap(Runnable action) {
		this.store.setBeforeOperationHook((call) -> {
			if (call.operation() == StoreOperation.SWAP) {
				this.store.setBeforeOperationHook((ignored) -> {
				});
				action.run();
			}
		});
	}

	private long countEdits(String editId) {
		CatalogueHead head = this.firstHost.catalogueStore.readHead().value();
		long inHead = head.changes()
			.stream()
			.map(CatalogueChange::record)
			.map(CatalogueRecord::editId)
			.filter(editId::equals)
			.count();
		long inEntry = this.firstHost.catalogueStore.readEntry("orders")
			.map((entry) -> entry.value().history().stream().map(EditSummary::editId).filter(editId::equals).count())
			.orElse(0L);
		return Math.max(inHead, inEntry);
	}

	private static CatalogueEntry serviceWithPath(String name, String pathPrefix) {
		CatalogueEntry entry = CatalogueHost.service(name, "maria");
		return new CatalogueEntry(name, entry.kind(), entry.owner(), entry.tier(), null, entry.upstreams(), null, null,
				null, null, pathPrefix, null, null, null, null, null);
	}

	private static long revision(@Nullable CatalogueEditOutcome outcome) {
		return outcome.record().revision();
	}

	@Nested
	class WhenStoreCallsFail {

		@ParameterizedTest
		@EnumSource(value = StoreFault.class,
				names = { "REQUEST_LOST", "RESPONSE_LOST", "WRITE_DELAYED", "UNAVAILABLE" })
		void editIsAcceptedOnce(StoreFault fault) {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("other", "ion"));
			CatalogueEditTests.this.store.queueFault(StoreOperation.SWAP, fault);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.applyDelayedWrites();
			assertThat(outcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(countEdits("edit-1"), is(1L));
		}

		@ParameterizedTest
		@MethodSource("org.cyclamenstall.test.catalogue.CatalogueEditTests#faultPairs")
		void repeatingTheEditSucceedsAfterAnyTwoFaults(List<InjectedFault> faults) {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("other", "ion"));
			long callsBefore = CatalogueEditTests.this.store.calls().size();
			CatalogueEditTests.this.store.setFaultPlan((call) -> faults.stream()
				.filter((injected) -> call.number() == callsBefore + injected.call())
				.map(InjectedFault::fault)
				.findFirst()
				.orElse(StoreFault.NONE));
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.applyDelayedWrites();
			assertThat(outcome.status(), is(oneOf(CatalogueEditStatus.ACCEPTED, CatalogueEditStatus.UNKNOWN)));
			CatalogueEditOutcome repeatedOutcome = CatalogueEditTests.this.secondHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(repeatedOutcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(countEdits("edit-1"), is(1L));
		}

		@Test
		void anUnavailableStoreAcceptsNoEdit() {
			CatalogueEditTests.this.store.setFault(StoreFault.UNAVAILABLE);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.putWithin(SHORT_TIMEOUT, "edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.setFault(StoreFault.NONE);
			assertThat(outcome.status(), is(CatalogueEditStatus.UNAVAILABLE));
			assertThat(countEdits("edit-1"), is(0L));
		}

		@Test
		void aWriteThatMayBeAppliedLaterIsReportedAsUnknown() {
			CatalogueEditTests.this.store.setFault(StoreOperation.CREATE, StoreFault.WRITE_DELAYED);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.putWithin(SHORT_TIMEOUT, "edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(outcome.status(), is(CatalogueEditStatus.UNKNOWN));
			CatalogueEditTests.this.store.applyDelayedWrites();
			assertThat(countEdits("edit-1"), is(1L));
		}

		@Test
		void aRepeatedEditIsRecognizedAfterLaterEdits() {
			CatalogueEditTests.this.firstHost.put("edit-1", CatalogueHost.service("orders", "ion"));
			for (int number = 2; number < CatalogueHead.MAXIMUM_CHANGES; number++) {
				CatalogueEditTests.this.firstHost.put("edit-" + number,
						CatalogueHost.service("orders", "ion" + number));
			}
			CatalogueEditOutcome repeatedOutcome = CatalogueEditTests.this.secondHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(repeatedOutcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(revision(repeatedOutcome), is(1L));
		}

	}

	@Nested
	class WhenAnEditIsRepeatedOnAnotherHost {

		@Test
		void theReplicaOfThatHostHasAllEarlierEdits() {
			for (int number = 1; number <= 3; number++) {
				CatalogueEditTests.this.firstHost.put("edit-" + number,
						CatalogueHost.service("service-" + number, "ion"));
			}
			CatalogueEditTests.this.secondHost.put("edit-3", CatalogueHost.service("service-3", "ion"));
			assertThat(CatalogueEditTests.this.secondHost.replica.summary().revision(), is(3L));
			assertThat(CatalogueEditTests.this.secondHost.owner("service-1"), is("ion"));
		}

	}

	@Nested
	class WhenEditsAreConcurrent {

		@Test
		void aConflictReturnsTheWinningRecord() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("orders", "ion"));
			AtomicReference<@Nullable CatalogueEditOutcome> winningOutcome = new AtomicReference<>();
			beforeFirstSwap(() -> winningOutcome
				.set(CatalogueEditTests.this.secondHost.put("edit-2", CatalogueHost.service("orders", "maria"))));
			CatalogueEditOutcome conflict = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(conflict.status(), is(CatalogueEditStatus.CONFLICT));
			assertThat(conflict.record(), is(winningOutcome.get().record()));
			assertThat(countEdits("edit-1"), is(0L));
		}

		@Test
		void editsOfDifferentEntriesAreBothAccepted() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("other", "ion"));
			AtomicReference<@Nullable CatalogueEditOutcome> concurrentOutcome = new AtomicReference<>();
			beforeFirstSwap(() -> concurrentOutcome
				.set(CatalogueEditTests.this.secondHost.put("edit-2", CatalogueHost.service("bookings", "maria"))));
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(outcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(revision(outcome), is(revision(concurrentOutcome.get()) + 1));
			assertThat(CatalogueEditTests.this.firstHost.owner("bookings"), is("maria"));
		}

		@Test
		void aPathPrefixCannotBeUsedByTwoEntries() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("other", "ion"));
			beforeFirstSwap(
					() -> CatalogueEditTests.this.secondHost.put("edit-2", serviceWithPath("bookings", "/orders")));
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(outcome.status(), is(CatalogueEditStatus.INVALID));
			assertThat(outcome.errors().toString(), containsString("already used by entry bookings"));
		}

		@Test
		void anOutdatedExpectedRevisionIsAConflict() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("orders", "ion"));
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.editCommand("edit-1")
				.setEntry(CatalogueHost.service("orders", "maria"))
				.setExpectedRevision(0L)
				.call();
			assertThat(outcome.status(), is(CatalogueEditStatus.CONFLICT));
		}

		@Test
		void aDeletedEntryCanBeCreatedAgain() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.firstHost.editCommand("edit-1").setDeletedName("orders").call();
			assertThat(CatalogueEditTests.this.firstHost.owner("orders"), is("none"));
			CatalogueEditOutcome outcome = CatalogueEditTests.this.secondHost.editCommand("edit-2")
				.setEntry(CatalogueHost.service("orders", "maria"))
				.setExpectedRevision(0L)
				.call();
			assertThat(outcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(revision(outcome), is(3L));
		}

	}

	@Nested
	class WhenTheEntryKeyWasNotWritten {

		@Test
		void theNextEditWritesTheKeyOfTheEntry() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("other", "ion"));
			CatalogueEditTests.this.store.setFault(StoreOperation.CREATE, StoreFault.UNAVAILABLE);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.store.setFault(StoreOperation.CREATE, StoreFault.NONE);
			assertThat(outcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(CatalogueEditTests.this.firstHost.catalogueStore.readEntry("orders").isPresent(), is(false));
			CatalogueEditTests.this.secondHost.put("edit-2", CatalogueHost.service("bookings", "maria"));
			assertThat(CatalogueEditTests.this.firstHost.catalogueStore.readEntry("orders").isPresent(), is(true));
		}

	}

	@Nested
	class WhenTheStoreWasRestored {

		@Test
		void theNextEditGetsAHigherRevisionAndNoEditIsReverted() {
			CatalogueEditTests.this.firstHost.put("edit-1", CatalogueHost.service("orders", "ion"));
			List<StoreRecord> olderSnapshot = CatalogueEditTests.this.store.snapshot();
			CatalogueEditTests.this.firstHost.put("edit-2", CatalogueHost.service("orders", "maria"));
			CatalogueEditTests.this.firstHost.put("edit-3", CatalogueHost.service("bookings", "maria"));
			CatalogueEditTests.this.store.restore(olderSnapshot);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-4",
					CatalogueHost.service("lookups", "ion"));
			assertThat(outcome.status(), is(CatalogueEditStatus.ACCEPTED));
			assertThat(revision(outcome), is(4L));
			CatalogueEditTests.this.secondHost.put("edit-5", CatalogueHost.service("digests", "ion"));
			assertThat(CatalogueEditTests.this.secondHost.owner("orders"), equalTo("maria"));
			assertThat(CatalogueEditTests.this.secondHost.owner("bookings"), equalTo("maria"));
		}

		@Test
		void aDaemonBehindALiveHostAcceptsNoEdit() {
			CatalogueEditTests.this.firstHost.put("edit-1", CatalogueHost.service("orders", "ion"));
			CatalogueEditTests.this.firstHost.membership.put("host-2", MemberState.ALIVE, 7);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.putWithin(SHORT_TIMEOUT, "edit-2",
					CatalogueHost.service("orders", "maria"));
			assertThat(outcome.status(), is(CatalogueEditStatus.UNAVAILABLE));
			assertThat(outcome.detail(), containsString("live hosts are at 7"));
			assertThat(countEdits("edit-2"), is(0L));
		}

		@Test
		void theRevisionOfAnUnresponsiveHostIsNotReused() {
			CatalogueEditTests.this.firstHost.membership.put("host-2", MemberState.SUSPECT, 7);
			CatalogueEditOutcome outcome = CatalogueEditTests.this.firstHost.put("edit-1",
					CatalogueHost.service("orders", "ion"));
			assertThat(revision(outcome), is(greaterThan(7L)));
		}

	}

	@Nested
	class WhenEntriesAreLarge {

		@Test
		void theHeadStaysBelowItsMaximumSize() {
			for (int number = 0; number < 6; number++) {
				CatalogueEditTests.this.firstHost.put("edit-" + number, largeAccount(number));
			}
			for (StoreRecord record : CatalogueEditTests.this.store.snapshot()) {
				assertThat(record.value().length, is(lessThanOrEqualTo(262_144)));
			}
			CatalogueEditTests.this.secondHost.put("edit-6", CatalogueHost.service("orders", "ion"));
			assertThat(CatalogueEditTests.this.secondHost.replica.recordsAfter(0).size(), is(7));
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
		void anEditMakesAtMostSixStoreCalls() {
			CatalogueEditTests.this.firstHost.put("edit-0", CatalogueHost.service("orders", "ion"));
			int callsBefore = CatalogueEditTests.this.store.calls().size();
			CatalogueEditTests.this.firstHost.put("edit-1", CatalogueHost.service("orders", "maria"));
			assertThat(CatalogueEditTests.this.store.calls().size() - callsBefore, is(lessThanOrEqualTo(6)));
		}

	}

	/**
	 * A fault to inject into one call to the store.
	 *
	 * @param call the number of the call, starting at 1
	 * @param fault the fault
	 */
	record InjectedFault(int call, StoreFault fault) {

	}

}
