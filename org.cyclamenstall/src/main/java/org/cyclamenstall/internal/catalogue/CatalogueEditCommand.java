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
import org.cyclamenstall.internal.yaml.FieldError;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Writes or deletes one catalogue entry. A single compare-and-swap of the
 * {@link CatalogueHead head} commits the edit; the head contains the complete record and
 * assigns its revision. The key of the entry is written afterwards, by this command or by
 * the next edit. If the store does not confirm the write, the command reads the head back
 * and looks for the edit identifier. A repeated call with the same identifier returns the
 * first result, as long as the edit is in the head or in the history of its entry. Not
 * thread-safe; blocks.
 */
public final class CatalogueEditCommand {

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

	private static final long MINIMUM_RETRY_DELAY_MILLIS = 5;

	private static final long RETRY_JITTER_MILLIS = 60;

	private final CatalogueStore catalogueStore;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private @Nullable String name;

	private @Nullable CatalogueEntry entry;

	private @Nullable String editId;

	private String operator = "unknown";

	private @Nullable Long expectedRevision;

	private Duration timeout = DEFAULT_TIMEOUT;

	private boolean writeUnconfirmed;

	private long unconfirmedHeadVersion;

	private String lastFailure = "";

	/**
	 * Creates a command.
	 * @param catalogueStore the catalogue keys in the store
	 * @param replica the replica of this daemon
	 * @param membership the daemons of the deployment
	 * @param clock the monotonic clock
	 * @param random the source of retry jitter
	 */
	public CatalogueEditCommand(CatalogueStore catalogueStore, CatalogueReplica replica, Membership membership,
			MonotonicClock clock, UniformRandomProvider random) {
		this.catalogueStore = catalogueStore;
		this.replica = replica;
		this.membership = membership;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Sets the entry to write.
	 * @param newEntry the validated entry
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
	 * Sets the identifier by which a repeated edit is recognized.
	 * @param newEditId an identifier that is unique among all edits
	 * @return this command
	 */
	public CatalogueEditCommand setEditId(String newEditId) {
		this.editId = newEditId;
		return this;
	}

	/**
	 * Sets the operator recorded with the edit.
	 * @param newOperator the name of the operator
	 * @return this command
	 */
	public CatalogueEditCommand setOperator(String newOperator) {
		this.operator = newOperator;
		return this;
	}

	/**
	 * Sets the revision that the entry must have for the edit to be accepted. Without it,
	 * the edit replaces the revision found by the first read.
	 * @param revision the expected revision, 0 if the entry must be absent or deleted, or
	 * {@code null} to accept any
	 * @return this command
	 */
	public CatalogueEditCommand setExpectedRevision(@Nullable Long revision) {
		this.expectedRevision = revision;
		return this;
	}

	/**
	 * Sets how long the command retries until the outcome of the edit is known.
	 * @param newTimeout the maximum time
	 * @return this command
	 */
	public CatalogueEditCommand setTimeout(Duration newTimeout) {
		this.timeout = newTimeout;
		return this;
	}

	/**
	 * Performs the edit, retrying until its outcome is known or the timeout has passed.
	 * @return the outcome
	 */
	public CatalogueEditOutcome call() {
		Objects.requireNonNull(this.name, "name");
		Objects.requireNonNull(this.editId, "editId");
		long startNanos = this.clock.nanoTime();
		while (this.clock.nanoTime() - startNanos < this.timeout.toNanos() && !Thread.currentThread().isInterrupted()) {
			try {
				CatalogueEditOutcome outcome = tryEdit();
				if (outcome != null) {
					return outcome;
				}
			}
			catch (RouterException ex) {
				this.lastFailure = String.valueOf(ex.getMessage());
			}
			sleepBeforeRetry();
		}
		return CatalogueEditOutcome.rejected(
				this.writeUnconfirmed ? CatalogueEditStatus.UNKNOWN : CatalogueEditStatus.UNAVAILABLE,
				this.lastFailure);
	}

	/**
	 * Tries the edit once.
	 * @return the outcome, or {@code null} if the edit must be tried again
	 */
	private @Nullable CatalogueEditOutcome tryEdit() {
		Versioned<CatalogueHead> head = this.catalogueStore.readHead();
		@Nullable StoredEntry current = this.catalogueStore.readEntry(name()).map(Versioned::value).orElse(null);
		@Nullable CatalogueEditOutcome earlierOutcome = findEarlierOutcome(head.value(), current);
		if (earlierOutcome != null) {
			return earlierOutcome;
		}
		if (head.version() < this.unconfirmedHeadVersion || !ensureUpToDate(head.value())) {
			return null;
		}
		if (head.version() > this.unconfirmedHeadVersion) {
			// The unconfirmed write requires an older version of the head, so it can no
			// longer be applied.
			this.writeUnconfirmed = false;
		}
		@Nullable CatalogueRecord latest = latestRecord(head.value(), current);
		@Nullable CatalogueEditOutcome conflict = checkExpectedRevision(latest);
		if (conflict != null || !this.catalogueStore.writeIncompleteEntries(head.value())) {
			return conflict;
		}
		@Nullable CatalogueEditOutcome rejection = validate(latest);
		return (rejection != null) ? rejection : write(head);
	}

	private @Nullable CatalogueEditOutcome findEarlierOutcome(CatalogueHead head, @Nullable StoredEntry current) {
		Optional<CatalogueRecord> headRecord = head.findByEditId(editId());
		if (headRecord.isPresent()) {
			updateReplica(head);
			return completeAcceptedEdit(headRecord.get());
		}
		if (current != null) {
			for (EditSummary edit : current.history()) {
				if (edit.editId().equals(editId())) {
					return CatalogueEditOutcome.accepted(new CatalogueRecord(name(), edit.revision(), edit.editId(),
							edit.operator(), edit.writtenAtMillis(), this.entry), List.of());
				}
			}
		}
		return null;
	}

	private @Nullable CatalogueRecord latestRecord(CatalogueHead head, @Nullable StoredEntry current) {
		@Nullable CatalogueRecord headRecord = head.latestRecord(name()).orElse(null);
		if (current == null) {
			return headRecord;
		}
		return (headRecord != null) ? RecordOrder.newer(current.record(), headRecord) : current.record();
	}

	private @Nullable CatalogueEditOutcome checkExpectedRevision(@Nullable CatalogueRecord latest) {
		long revision = (latest != null) ? latest.revision() : 0;
		if (this.expectedRevision == null) {
			this.expectedRevision = revision;
		}
		long expected = this.expectedRevision;
		boolean createsEntry = expected == 0 && (latest == null || latest.entry() == null);
		if (createsEntry || expected == revision) {
			return null;
		}
		String detail = "the entry does not exist";
		if (latest != null) {
			detail = "the entry is at revision " + revision + ", written by " + latest.operator();
		}
		return CatalogueEditOutcome.conflict(latest, detail + "; expected revision " + expected);
	}

	/**
	 * Updates the replica to the head. If the store is behind the replica or a live
	 * daemon, the newer records of the replica are written back to the store instead.
	 * @param head the head
	 * @return {@code false} if the store was behind, so that the edit must be tried again
	 */
	private boolean ensureUpToDate(CatalogueHead head) {
		long replicaRevision = this.replica.summary().revision();
		long highestAliveRevision = highestRevision(MemberState.ALIVE);
		if (head.revision() < replicaRevision || Math.max(head.revision(), replicaRevision) < highestAliveRevision) {
			this.lastFailure = "the store is at revision " + head.revision() + ", live hosts are at "
					+ Math.max(replicaRevision, highestAliveRevision) + ": the newer entries are being written back";
			new StoreRepair(this.catalogueStore, this.replica, this.random).writeBack(this.catalogueStore.readAll());
			return false;
		}
		updateReplica(head);
		return true;
	}

	/**
	 * Updates the replica to the revision of the head with all records in between, so
	 * that no record below the revision of the replica is missing.
	 * @param head the head
	 */
	private void updateReplica(CatalogueHead head) {
		if (this.replica.summary().revision() < head.revision() || !this.replica.isLoaded()) {
			this.replica.offer(missingRecords(head), "edit");
		}
	}

	private List<CatalogueRecord> missingRecords(CatalogueHead head) {
		Optional<List<CatalogueRecord>> missing = this.replica.isLoaded()
				? head.recordsAfter(this.replica.summary().revision()) : Optional.empty();
		return missing.orElseGet(() -> this.catalogueStore.readAll().records());
	}

	private @Nullable CatalogueEditOutcome validate(@Nullable CatalogueRecord latest) {
		if (this.entry == null) {
			boolean entryAbsent = latest == null || latest.entry() == null;
			return entryAbsent ? CatalogueEditOutcome.rejected(CatalogueEditStatus.ENTRY_UNKNOWN,
					"there is no entry named " + name()) : null;
		}
		List<FieldError> errors = CatalogueValidator.validate(this.entry, this.replica.current());
		return errors.isEmpty() ? null : CatalogueEditOutcome.invalid(errors);
	}

	private @Nullable CatalogueEditOutcome write(Versioned<CatalogueHead> head) {
		long previousRevision = Math.max(head.value().revision(),
				Math.max(this.replica.summary().revision(), highestRevision(MemberState.SUSPECT)));
		CatalogueRecord record = new CatalogueRecord(name(), previousRevision + 1, editId(), this.operator,
				System.currentTimeMillis(), this.entry);
		WriteResult result = this.catalogueStore.writeHead(head.value().withChange(record, previousRevision),
				head.version());
		if (result == WriteResult.APPLIED) {
			this.replica.offer(List.of(record), "edit");
			return completeAcceptedEdit(record);
		}
		if (result == WriteResult.UNKNOWN) {
			this.writeUnconfirmed = true;
			this.unconfirmedHeadVersion = head.version();
		}
		this.lastFailure = "write of the catalogue head returned " + result;
		return null;
	}

	/**
	 * Completes an accepted edit by writing the key of its entry. If that fails, the next
	 * edit writes the key.
	 * @param record the record of the edit
	 * @return the outcome with the warnings about the edit
	 */
	private CatalogueEditOutcome completeAcceptedEdit(CatalogueRecord record) {
		try {
			this.catalogueStore.writeIfNewer(record);
		}
		catch (RouterException ex) {
			this.lastFailure = String.valueOf(ex.getMessage());
		}
		Catalogue catalogue = this.replica.current();
		List<FieldError> warnings = (this.entry != null) ? CatalogueValidator.warnings(this.entry, catalogue)
				: CatalogueValidator.deletionWarnings(name(), catalogue);
		return CatalogueEditOutcome.accepted(record, warnings);
	}

	/**
	 * Returns the highest catalogue revision reported by a daemon.
	 * @param stateFilter {@code ALIVE} to include only live daemons; any other state
	 * includes all daemons
	 * @return the revision; zero if none was reported
	 */
	private long highestRevision(MemberState stateFilter) {
		return this.membership.members()
			.stream()
			.filter((member) -> stateFilter != MemberState.ALIVE || member.state() == MemberState.ALIVE)
			.mapToLong(Member::catalogueRevision)
			.max()
			.orElse(0);
	}

	private void sleepBeforeRetry() {
		try {
			TimeUnit.MILLISECONDS.sleep(MINIMUM_RETRY_DELAY_MILLIS + this.random.nextLong(RETRY_JITTER_MILLIS));
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
