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
import org.cyclamenstall.internal.yaml.FieldError;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Membership;
import org.jspecify.annotations.Nullable;

/**
 * Handles the catalogue requests of operators. Reads are served from the local replica,
 * except for the edit history, which is read from the store. Edits through this daemon
 * are serialized. Thread-safe; blocking.
 */
final class CatalogueResource {

	private static final Map<CatalogueEditStatus, ErrorKind> ERROR_KINDS = Map.of(CatalogueEditStatus.CONFLICT,
			ErrorKind.CATALOGUE_CONFLICT, CatalogueEditStatus.INVALID, ErrorKind.CATALOGUE_INVALID,
			CatalogueEditStatus.ENTRY_UNKNOWN, ErrorKind.CATALOGUE_ENTRY_UNKNOWN, CatalogueEditStatus.UNAVAILABLE,
			ErrorKind.STORE_UNAVAILABLE, CatalogueEditStatus.UNKNOWN, ErrorKind.CATALOGUE_WRITE_UNKNOWN);

	private final CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.CATALOGUE_INVALID);

	private final Object editLock = new Object();

	private final CatalogueStore catalogueStore;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final InForceReport inForceReport;

	CatalogueResource(CatalogueStore catalogueStore, CatalogueReplica replica, Membership membership,
			MonotonicClock clock, UniformRandomProvider random) {
		this.catalogueStore = catalogueStore;
		this.replica = replica;
		this.membership = membership;
		this.clock = clock;
		this.random = random;
		this.inForceReport = new InForceReport(membership, clock);
	}

	OperatorResponses.Listing list() {
		Catalogue catalogue = this.replica.current();
		List<CatalogueRecord> entries = catalogue.records()
			.stream()
			.filter((record) -> record.entry() != null)
			.sorted(Comparator.comparing(CatalogueRecord::name))
			.toList();
		return new OperatorResponses.Listing(catalogue.revision(), entries);
	}

	CatalogueRecord show(String name) {
		return this.replica.current()
			.record(name)
			.filter((record) -> record.entry() != null)
			.orElseThrow(() -> unknownEntry(name));
	}

	OperatorResponses.History history(String name) {
		@Nullable StoredEntry entry = this.catalogueStore.readEntry(name).map(Versioned::value).orElse(null);
		List<EditSummary> edits = (entry != null) ? entry.history() : List.of();
		if (edits.isEmpty()) {
			throw unknownEntry(name);
		}
		return new OperatorResponses.History(name, edits);
	}

	OperatorResponses.Accepted put(String name, byte[] body, EditParameters parameters) {
		CatalogueEntry entry = this.reader.read(new String(body, StandardCharsets.UTF_8), "body", CatalogueEntry.class,
				(parsed) -> validate(name, parsed));
		CatalogueEditOutcome outcome = edit(parameters, (command) -> command.setEntry(entry));
		if (outcome.status() == CatalogueEditStatus.INVALID) {
			// Reads the body again, to report each error with its line.
			this.reader.read(new String(body, StandardCharsets.UTF_8), "body", CatalogueEntry.class,
					(parsed) -> outcome.errors());
		}
		return awaitInForce(outcome, parameters.maximumWait());
	}

	OperatorResponses.Accepted delete(String name, EditParameters parameters) {
		return awaitInForce(edit(parameters, (command) -> command.setDeletedName(name)), parameters.maximumWait());
	}

	OperatorResponses.InForce inForce(long revision, Duration maximumWait) {
		return this.inForceReport.awaitActiveEverywhere(revision, maximumWait);
	}

	private CatalogueEditOutcome edit(EditParameters parameters, Consumer<CatalogueEditCommand> configurer) {
		String editId = (parameters.editId() != null) ? parameters.editId() : UUID.randomUUID().toString();
		CatalogueEditCommand command = new CatalogueEditCommand(this.catalogueStore, this.replica, this.membership,
				this.clock, this.random)
			.setEditId(editId)
			.setOperator(parameters.operator())
			.setExpectedRevision(parameters.expectedRevision());
		configurer.accept(command);
		synchronized (this.editLock) {
			return command.call();
		}
	}

	private OperatorResponses.Accepted awaitInForce(CatalogueEditOutcome outcome, Duration maximumWait) {
		CatalogueRecord record = outcome.record();
		if (outcome.status() != CatalogueEditStatus.ACCEPTED || record == null) {
			ErrorKind kind = ERROR_KINDS.getOrDefault(outcome.status(), ErrorKind.INTERNAL);
			List<YamlProblem> problems = outcome.errors()
				.stream()
				.map((error) -> new YamlProblem(1, error.field(), error.message()))
				.toList();
			throw new OperatorRequestException(kind, outcome.detail(), problems, record);
		}
		OperatorResponses.InForce inForce = this.inForceReport.awaitActiveEverywhere(record.revision(), maximumWait);
		return new OperatorResponses.Accepted(record.name(), record.revision(), record.editId(), inForce.inForce(),
				inForce.pending(), outcome.warnings());
	}

	private static List<FieldError> validate(String name, CatalogueEntry entry) {
		if (!name.equals(entry.name())) {
			return List.of(new FieldError("name", "must be " + name + ", the name in the path"));
		}
		return CatalogueValidator.validate(entry);
	}

	private static OperatorRequestException unknownEntry(String name) {
		return new OperatorRequestException(ErrorKind.CATALOGUE_ENTRY_UNKNOWN, "no catalogue entry named " + name);
	}

}
