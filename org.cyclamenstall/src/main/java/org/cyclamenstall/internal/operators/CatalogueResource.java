package org.cyclamenstall.internal.operators;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.catalogue.CatalogueEditCommand;
import org.cyclamenstall.internal.catalogue.CatalogueEditOutcome;
import org.cyclamenstall.internal.catalogue.CatalogueEditStatus;
import org.cyclamenstall.internal.catalogue.CatalogueStore;
import org.cyclamenstall.internal.catalogue.CatalogueValidator;
import org.cyclamenstall.internal.catalogue.EditSummary;
import org.cyclamenstall.internal.catalogue.StoredEntry;
import org.cyclamenstall.internal.catalogue.Versioned;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Membership;
import org.jspecify.annotations.Nullable;

/**
 * Reads and edits the catalogue for an operator. Edits of this daemon are made one after
 * the other. Thread-safe; blocks.
 */
final class CatalogueResource {

	private static final Map<CatalogueEditStatus, ErrorKind> KINDS = Map.of(CatalogueEditStatus.CONFLICT,
			ErrorKind.CATALOGUE_CONFLICT, CatalogueEditStatus.INVALID, ErrorKind.CATALOGUE_INVALID,
			CatalogueEditStatus.ENTRY_UNKNOWN, ErrorKind.CATALOGUE_ENTRY_UNKNOWN, CatalogueEditStatus.UNAVAILABLE,
			ErrorKind.STORE_UNAVAILABLE, CatalogueEditStatus.UNKNOWN, ErrorKind.CATALOGUE_WRITE_UNKNOWN);

	private final CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.CATALOGUE_INVALID);

	private final Object editLock = new Object();

	private final CatalogueStore stored;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final InForceReport inForceReport;

	CatalogueResource(CatalogueStore stored, CatalogueReplica replica, Membership membership, MonotonicClock clock,
			UniformRandomProvider random) {
		this.stored = stored;
		this.replica = replica;
		this.membership = membership;
		this.clock = clock;
		this.random = random;
		this.inForceReport = new InForceReport(membership, clock);
	}

	OperatorAnswers.Listing list() {
		Catalogue catalogue = this.replica.current();
		List<CatalogueRecord> entries = catalogue.records()
			.stream()
			.filter((record) -> record.entry() != null)
			.sorted(Comparator.comparing(CatalogueRecord::name))
			.toList();
		return new OperatorAnswers.Listing(catalogue.revision(), entries);
	}

	CatalogueRecord show(String name) {
		return this.replica.current()
			.record(name)
			.filter((record) -> record.entry() != null)
			.orElseThrow(() -> unknownEntry(name));
	}

	OperatorAnswers.History history(String name) {
		@Nullable StoredEntry entry = this.stored.readEntry(name).map(Versioned::value).orElse(null);
		List<EditSummary> edits = (entry != null) ? entry.history() : List.of();
		if (edits.isEmpty()) {
			throw unknownEntry(name);
		}
		return new OperatorAnswers.History(name, edits);
	}

	OperatorAnswers.Accepted put(String name, byte[] body, EditParameters parameters) {
		CatalogueEntry entry = this.reader.read(new String(body, StandardCharsets.UTF_8), "body", CatalogueEntry.class,
				(read) -> faults(name, read));
		CatalogueEditOutcome answer = edit(parameters, (command) -> command.setEntry(entry));
		if (answer.status() == CatalogueEditStatus.INVALID) {
			this.reader.read(new String(body, StandardCharsets.UTF_8), "body", CatalogueEntry.class,
					(read) -> answer.errors());
		}
		return accepted(answer, parameters.longestWait());
	}

	OperatorAnswers.Accepted delete(String name, EditParameters parameters) {
		return accepted(edit(parameters, (command) -> command.setDeletedName(name)), parameters.longestWait());
	}

	OperatorAnswers.InForce inForce(long revision, Duration wait) {
		return this.inForceReport.await(revision, wait);
	}

	private CatalogueEditOutcome edit(EditParameters parameters, Consumer<CatalogueEditCommand> target) {
		String editId = (parameters.editId() != null) ? parameters.editId() : UUID.randomUUID().toString();
		CatalogueEditCommand command = new CatalogueEditCommand(this.stored, this.replica, this.membership, this.clock,
				this.random)
			.setEditId(editId)
			.setOperator(parameters.operator())
			.setExpectedRevision(parameters.expectedRevision());
		target.accept(command);
		synchronized (this.editLock) {
			return command.call();
		}
	}

	private OperatorAnswers.Accepted accepted(CatalogueEditOutcome answer, Duration wait) {
		CatalogueRecord record = answer.record();
		if (answer.status() != CatalogueEditStatus.ACCEPTED || record == null) {
			ErrorKind kind = KINDS.getOrDefault(answer.status(), ErrorKind.INTERNAL);
			List<YamlProblem> problems = answer.errors()
				.stream()
				.map((fault) -> new YamlProblem(1, fault.field(), fault.message()))
				.toList();
			throw new OperatorFailure(kind, answer.detail(), problems, record);
		}
		OperatorAnswers.InForce inForce = this.inForceReport.await(record.revision(), wait);
		return new OperatorAnswers.Accepted(record.name(), record.revision(), record.editId(), inForce.inForce(),
				inForce.pending(), answer.warnings());
	}

	private static List<FieldFault> faults(String name, CatalogueEntry entry) {
		if (!name.equals(entry.name())) {
			return List.of(new FieldFault("name", "must be " + name + " as in the path"));
		}
		return CatalogueValidator.validate(entry);
	}

	private static OperatorFailure unknownEntry(String name) {
		return new OperatorFailure(ErrorKind.CATALOGUE_ENTRY_UNKNOWN, "no entry is named " + name);
	}

}
