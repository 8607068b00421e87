package org.cyclamenstall.junit.matrix;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.standin.site.OperatorAnswer;

/**
 * Runs a cell of a catalogue edit at daemon 0 under the faults. After they ended another
 * entry is edited, and all daemons must agree. Used once, by one thread.
 */
final class EditRun {

	private static final String ENTRY = "matrix-entry";

	private static final int LARGEST_LIMIT = 1_000_000;

	private final TestSite site;

	private final MatrixCell cell;

	private final UniformRandomProvider random;

	private final List<String> violations = new ArrayList<>();

	EditRun(TestSite site, MatrixCell cell, UniformRandomProvider random) {
		this.site = site;
		this.cell = cell;
		this.random = random;
	}

	CellResult call() {
		int limit = 1 + this.random.nextInt(LARGEST_LIMIT);
		FaultProxy store = this.site.daemon(0).storeProxy();
		HeldStep held = prepare(store);
		CompletableFuture<OperatorAnswer> put = CompletableFuture.supplyAsync(() -> put(0, ENTRY, limit));
		awaitStep(held, put, limit);
		this.cell.strike(this.site, held);
		OperatorAnswer answer = answer(put);
		boolean acceptedBefore = answer.isAccepted();
		this.site.restore();
		String barrier = "barrier-" + this.site.newKey();
		OperatorAnswer later = put(1, barrier, 1);
		check(later.isAccepted(), "a later edit was refused: " + later);
		long revision = later.json().path("revision").asLong();
		this.site.site().daemons().forEach((daemon) -> daemon.awaitRevision(revision));
		check(digests() == 1, "the daemons do not agree");
		int inForce = inForce(0);
		if (acceptedBefore) {
			check(inForce == limit, "the accepted edit is not in force");
		}
		if (answer.body().contains("\"not-run\"")) {
			check(inForce != limit, "the edit was told not-run and is in force");
		}
		String seen = (answer.status() == 0) ? "no answer"
				: (acceptedBefore ? "accepted" : answer.json().at("/error/kind").asText());
		return new CellResult(seen + ((inForce == limit) ? ", in force on all" : ", in force on none"),
				this.violations);
	}

	private HeldStep prepare(FaultProxy store) {
		FaultRule rule = switch (this.cell.step()) {
			case EDIT_SENT -> FaultRule.on(Direction.REQUEST, FaultAction.HOLD).matching("PUT \\S*" + ENTRY).build();
			case EDIT_WRITTEN -> FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching("PUT \\S*" + ENTRY).build();
			default -> FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching("never").build();
		};
		store.add(rule);
		if (this.cell.step() == Step.EDIT_ACKNOWLEDGED) {
			isolate(1);
		}
		if (this.cell.step() == Step.EDIT_ACKNOWLEDGED || this.cell.step() == Step.HEARD_BY_FIRST) {
			isolate(2);
		}
		return HeldStep.of(List.of(store), rule);
	}

	private void isolate(int daemon) {
		this.site.daemon(daemon).storeProxy().cut();
		this.site.site().cutFromPeers(daemon);
	}

	private void awaitStep(HeldStep held, CompletableFuture<OperatorAnswer> put, int limit) {
		switch (this.cell.step()) {
			case EDIT_SENT, EDIT_WRITTEN -> held.awaitReached(this.cell.step());
			case EDIT_ACKNOWLEDGED -> put.join();
			case HEARD_BY_FIRST -> awaitInForce(1, limit);
			default -> {
				awaitInForce(1, limit);
				awaitInForce(2, limit);
			}
		}
	}

	private void awaitInForce(int daemon, int limit) {
		ConditionWaiter.await(() -> inForce(daemon) == limit, () -> "daemon " + daemon + " did not hear of the edit");
	}

	private OperatorAnswer put(int daemon, String name, int limit) {
		String entry = TestSite.modelEntry(name, "bulk", true) + "limits:\n  concurrentRequests: " + limit + "\n";
		return this.site.daemon(daemon).operators().putEntry(name, entry);
	}

	private static OperatorAnswer answer(CompletableFuture<OperatorAnswer> put) {
		try {
			return put.join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof UncheckedIOException) {
				return new OperatorAnswer(0, "");
			}
			throw ex;
		}
	}

	private int inForce(int daemon) {
		return this.site.daemon(daemon)
			.operators()
			.get("/v1/catalogue/" + ENTRY)
			.json()
			.at("/entry/limits/concurrentRequests")
			.asInt();
	}

	private long digests() {
		return this.site.site()
			.daemons()
			.stream()
			.map((daemon) -> daemon.operators().get("/v1/status").json().path("catalogueDigest").asText())
			.distinct()
			.count();
	}

	private void check(boolean holds, String violation) {
		if (!holds) {
			this.violations.add(violation);
		}
	}

}
