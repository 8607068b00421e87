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
import org.cyclamenstall.internal.catalogue.CatalogueChecks;
import org.cyclamenstall.internal.catalogue.CatalogueEditAnswer;
import org.cyclamenstall.internal.catalogue.CatalogueEditCommand;
import org.cyclamenstall.internal.catalogue.CatalogueEditResult;
import org.cyclamenstall.internal.catalogue.EditSummary;
import org.cyclamenstall.internal.catalogue.StoredCatalogue;
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

	private static final Map<CatalogueEditResult, ErrorKind> KINDS = Map.of(CatalogueEditResult.CONFLICT,
			ErrorKind.CATALOGUE_CONFLICT, CatalogueEditResult.INVALID, ErrorKind.CATALOGUE_INVALID,
			CatalogueEditResult.ENTRY_UNKNOWN, ErrorKind.CATALOGUE_ENTRY_UNKNOWN, CatalogueEditResult.UNAVAILABLE,
			ErrorKind.STORE_UNAVAILABLE, CatalogueEditResult.UNKNOWN, ErrorKind.CATALOGUE_WRITE_UNKNOWN);

	private final CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.CATALOGUE_INVALID);

	private final Object editLock = new Object();

	private final StoredCatalogue stored;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final InForceReport inForceReport;

	CatalogueResource(StoredCatalogue stored, CatalogueReplica replica, Membership membership, MonotonicClock clock,
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
		CatalogueEditAnswer answer = edit(parameters, (command) -> command.setEntry(entry));
		if (answer.result() == CatalogueEditResult.INVALID) {
			this.reader.read(new String(body, StandardCharsets.UTF_8), "body", CatalogueEntry.class,
					(read) -> answer.faults());
		}
		return accepted(answer, parameters.longestWait());
	}

	OperatorAnswers.Accepted delete(String name, EditParameters parameters) {
		return accepted(edit(parameters, (command) -> command.setDeletedName(name)), parameters.longestWait());
	}

	OperatorAnswers.InForce inForce(long revision, Duration wait) {
		return this.inForceReport.await(revision, wait);
	}

	private CatalogueEditAnswer edit(EditParameters parameters, Consumer<CatalogueEditCommand> target) {
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

	private OperatorAnswers.Accepted accepted(CatalogueEditAnswer answer, Duration wait) {
		CatalogueRecord record = answer.record();
		if (answer.result() != CatalogueEditResult.ACCEPTED || record == null) {
			ErrorKind kind = KINDS.getOrDefault(answer.result(), ErrorKind.INTERNAL);
			List<YamlProblem> problems = answer.faults()
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
		return CatalogueChecks.faults(entry);
	}

	private static OperatorFailure unknownEntry(String name) {
		return new OperatorFailure(ErrorKind.CATALOGUE_ENTRY_UNKNOWN, "no entry is named " + name);
	}

}
