package org.cyclamenstall.internal.catalogue;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Writes or deletes one entry. The edit is accepted by one compare-and-swap of the head,
 * which carries the whole record and gives it its revision; the key of the entry is
 * written afterwards, by this command or by the next edit. A write without an answer is
 * settled by reading the head back for the edit identifier, and a repeated call with the
 * same identifier returns the first result. Not thread-safe; blocks.
 */
public final class CatalogueEditCommand {

	private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);

	private static final long MINIMUM_PAUSE_MILLIS = 5;

	private static final long PAUSE_RANGE_MILLIS = 60;

	private final StoredCatalogue stored;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private @Nullable String name;

	private @Nullable CatalogueEntry entry;

	private @Nullable String editId;

	private String operator = "unknown";

	private @Nullable Long expectedRevision;

	private Duration deadline = DEFAULT_DEADLINE;

	private boolean uncertain;

	private long uncertainVersion;

	private String lastFailure = "";

	/**
	 * Creates a command.
	 * @param stored the catalogue in the store
	 * @param replica the catalogue in force on this daemon
	 * @param membership the daemons
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public CatalogueEditCommand(StoredCatalogue stored, CatalogueReplica replica, Membership membership,
			MonotonicClock clock, UniformRandomProvider random) {
		this.stored = stored;
		this.replica = replica;
		this.membership = membership;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Sets the entry to write.
	 * @param newEntry the checked entry
	 * @return this command
	 */
	public CatalogueEditCommand setEntry(CatalogueEntry newEntry) {
		this.entry = newEntry;
		this.name = newEntry.name();
		return this;
	}

	/**
	 * Sets the name of the entry to delete.
	 * @param deletedName the name
	 * @return this command
	 */
	public CatalogueEditCommand setDeletedName(String deletedName) {
		this.entry = null;
		this.name = deletedName;
		return this;
	}

	/**
	 * Sets the identifier that makes a repeated edit harmless.
	 * @param newEditId the unique identifier
	 * @return this command
	 */
	public CatalogueEditCommand setEditId(String newEditId) {
		this.editId = newEditId;
		return this;
	}

	/**
	 * Sets who makes the edit.
	 * @param newOperator the name of the operator
	 * @return this command
	 */
	public CatalogueEditCommand setOperator(String newOperator) {
		this.operator = newOperator;
		return this;
	}

	/**
	 * Sets the revision that the entry must have. Without it the edit replaces whatever
	 * is stored when the call begins.
	 * @param revision the revision of the entry, 0 for none
	 * @return this command
	 */
	public CatalogueEditCommand setExpectedRevision(@Nullable Long revision) {
		this.expectedRevision = revision;
		return this;
	}

	/**
	 * Sets how long the command tries to reach the store and to settle the edit.
	 * @param newDeadline the longest time
	 * @return this command
	 */
	public CatalogueEditCommand setDeadline(Duration newDeadline) {
		this.deadline = newDeadline;
		return this;
	}

	/**
	 * Makes the edit.
	 * @return the result
	 */
	public CatalogueEditAnswer call() {
		Objects.requireNonNull(this.name, "name");
		Objects.requireNonNull(this.editId, "editId");
		long startedAt = this.clock.nanoTime();
		while (this.clock.nanoTime() - startedAt < this.deadline.toNanos() && !Thread.currentThread().isInterrupted()) {
			try {
				CatalogueEditAnswer answer = attempt();
				if (answer != null) {
					return answer;
				}
			}
			catch (RouterException ex) {
				this.lastFailure = String.valueOf(ex.getMessage());
			}
			pause();
		}
		return CatalogueEditAnswer
			.refused(this.uncertain ? CatalogueEditResult.UNKNOWN : CatalogueEditResult.UNAVAILABLE, this.lastFailure);
	}

	private @Nullable CatalogueEditAnswer attempt() {
		Versioned<CatalogueHead> head = this.stored.readHead();
		@Nullable StoredEntry current = this.stored.readEntry(name()).map(Versioned::value).orElse(null);
		@Nullable CatalogueEditAnswer earlier = earlierResult(head.value(), current);
		if (earlier != null) {
			return earlier;
		}
		if (head.version() < this.uncertainVersion || !isUpToDate(head.value())) {
			return null;
		}
		if (head.version() > this.uncertainVersion) {
			this.uncertain = false;
		}
		@Nullable CatalogueRecord latest = latest(head.value(), current);
		@Nullable CatalogueEditAnswer conflict = conflict(latest);
		if (conflict != null || !this.stored.completeAll(head.value())) {
			return conflict;
		}
		@Nullable CatalogueEditAnswer refusal = refusal(latest);
		return (refusal != null) ? refusal : write(head);
	}

	private @Nullable CatalogueEditAnswer earlierResult(CatalogueHead head, @Nullable StoredEntry current) {
		Optional<CatalogueRecord> announced = head.recordOfEdit(editId());
		if (announced.isPresent()) {
			catchUp(head);
			return accept(announced.get());
		}
		if (current != null) {
			for (EditSummary edit : current.history()) {
				if (edit.editId().equals(editId())) {
					return CatalogueEditAnswer.accepted(new CatalogueRecord(name(), edit.revision(), edit.editId(),
							edit.operator(), edit.writtenAtMillis(), this.entry), List.of());
				}
			}
		}
		return null;
	}

	private @Nullable CatalogueRecord latest(CatalogueHead head, @Nullable StoredEntry current) {
		@Nullable CatalogueRecord announced = head.latestOf(name()).orElse(null);
		if (current == null) {
			return announced;
		}
		return (announced != null) ? RecordOrder.later(current.record(), announced) : current.record();
	}

	private @Nullable CatalogueEditAnswer conflict(@Nullable CatalogueRecord latest) {
		long revision = (latest != null) ? latest.revision() : 0;
		if (this.expectedRevision == null) {
			this.expectedRevision = revision;
		}
		long expected = this.expectedRevision;
		boolean creates = expected == 0 && (latest == null || latest.entry() == null);
		if (creates || expected == revision) {
			return null;
		}
		String detail = "the entry does not exist";
		if (latest != null) {
			detail = "the entry is at revision " + revision + ", written by " + latest.operator();
		}
		return CatalogueEditAnswer.conflict(latest, detail + "; expected revision " + expected);
	}

	private boolean isUpToDate(CatalogueHead head) {
		long held = this.replica.summary().revision();
		long alive = highestRevision(MemberState.ALIVE);
		if (head.revision() < held || Math.max(head.revision(), held) < alive) {
			this.lastFailure = "the store is at revision " + head.revision() + ", live hosts are at "
					+ Math.max(held, alive) + ": the newer entries are being written back";
			new StoreRepair(this.stored, this.replica, this.random).run(this.stored.readAll());
			return false;
		}
		catchUp(head);
		return true;
	}

	/**
	 * Brings the replica up to the head, so that a revision that it reports never hides a
	 * missing record.
	 * @param head the head
	 */
	private void catchUp(CatalogueHead head) {
		if (this.replica.summary().revision() < head.revision() || !this.replica.isLoaded()) {
			this.replica.offer(recordsUpTo(head), "edit");
		}
	}

	private List<CatalogueRecord> recordsUpTo(CatalogueHead head) {
		Optional<List<CatalogueRecord>> missing = this.replica.isLoaded()
				? head.recordsAfter(this.replica.summary().revision()) : Optional.empty();
		return missing.orElseGet(() -> this.stored.readAll().records());
	}

	private @Nullable CatalogueEditAnswer refusal(@Nullable CatalogueRecord latest) {
		if (this.entry == null) {
			boolean absent = latest == null || latest.entry() == null;
			return absent
					? CatalogueEditAnswer.refused(CatalogueEditResult.ENTRY_UNKNOWN, "no entry is named " + name())
					: null;
		}
		List<FieldFault> faults = CatalogueChecks.faults(this.entry, this.replica.current());
		return faults.isEmpty() ? null : CatalogueEditAnswer.invalid(faults);
	}

	private @Nullable CatalogueEditAnswer write(Versioned<CatalogueHead> head) {
		long previous = Math.max(head.value().revision(),
				Math.max(this.replica.summary().revision(), highestRevision(MemberState.SUSPECT)));
		CatalogueRecord record = new CatalogueRecord(name(), previous + 1, editId(), this.operator,
				System.currentTimeMillis(), this.entry);
		WriteResult result = this.stored.writeHead(head.value().with(record, previous), head.version());
		if (result == WriteResult.APPLIED) {
			this.replica.offer(List.of(record), "edit");
			return accept(record);
		}
		if (result == WriteResult.UNKNOWN) {
			this.uncertain = true;
			this.uncertainVersion = head.version();
		}
		this.lastFailure = "the write of the head ended as " + result;
		return null;
	}

	private CatalogueEditAnswer accept(CatalogueRecord record) {
		try {
			this.stored.complete(record);
		}
		catch (RouterException ex) {
			this.lastFailure = String.valueOf(ex.getMessage());
		}
		Catalogue catalogue = this.replica.current();
		List<FieldFault> warnings = (this.entry != null) ? CatalogueChecks.warnings(this.entry, catalogue)
				: CatalogueChecks.deletionWarnings(name(), catalogue);
		return CatalogueEditAnswer.accepted(record, warnings);
	}

	private long highestRevision(MemberState worst) {
		return this.membership.members()
			.stream()
			.filter((member) -> worst != MemberState.ALIVE || member.state() == MemberState.ALIVE)
			.mapToLong(Member::catalogueRevision)
			.max()
			.orElse(0);
	}

	private void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(MINIMUM_PAUSE_MILLIS + this.random.nextLong(PAUSE_RANGE_MILLIS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String name() {
		return Objects.requireNonNull(this.name);
	}

	private String editId() {
		return Objects.requireNonNull(this.editId);
	}

}
