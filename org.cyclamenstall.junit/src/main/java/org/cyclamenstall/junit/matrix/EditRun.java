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
import org.cyclamenstall.standin.site.OperatorResponse;

/**
 * Runs one cell of the fault matrix with a catalogue edit, which is sent to daemon 0
 * while the faults are injected. After the faults have been cleared, another entry is
 * edited at daemon 1 as a barrier, and all daemons must have the same catalogue. Used
 * once, by one thread.
 */
final class EditRun {

	private static final String ENTRY_NAME = "matrix-entry";

	private static final int MAXIMUM_CONCURRENCY_LIMIT = 1_000_000;

	private final TestSite site;

	private final MatrixCell cell;

	private final UniformRandomProvider random;

	private final List<String> violations = new ArrayList<>();

	EditRun(TestSite site, MatrixCell cell, UniformRandomProvider random) {
		this.site = site;
		this.cell = cell;
		this.random = random;
	}

	CellResult run() {
		int limit = 1 + this.random.nextInt(MAXIMUM_CONCURRENCY_LIMIT);
		FaultProxy storeProxy = this.site.daemon(0).storeProxy();
		HeldStep heldStep = holdStep(storeProxy);
		CompletableFuture<OperatorResponse> edit = CompletableFuture.supplyAsync(() -> put(0, ENTRY_NAME, limit));
		awaitStep(heldStep, edit, limit);
		this.cell.injectFaults(this.site, heldStep);
		OperatorResponse response = awaitResponse(edit);
		boolean accepted = response.isSuccess();
		this.site.restore();
		String barrierName = "barrier-" + this.site.newIdempotencyKey();
		OperatorResponse barrierResponse = put(1, barrierName, 1);
		check(barrierResponse.isSuccess(), "a later edit was rejected: " + barrierResponse);
		long revision = barrierResponse.json().path("revision").asLong();
		this.site.site().daemons().forEach((daemon) -> daemon.awaitRevision(revision));
		check(distinctDigestCount() == 1, "the daemons have different catalogues");
		int activeLimit = activeLimit(0);
		if (accepted) {
			check(activeLimit == limit, "the accepted edit is not active");
		}
		if (response.body().contains("\"not-run\"")) {
			check(activeLimit != limit, "the edit was reported as not-run but is active");
		}
		String summary = (response.status() == 0) ? "no answer"
				: (accepted ? "accepted" : response.json().at("/error/kind").asText());
		return new CellResult(summary + ((activeLimit == limit) ? ", in force on all" : ", in force on none"),
				this.violations);
	}

	private HeldStep holdStep(FaultProxy storeProxy) {
		// Only the first two steps hold bytes; the rule of the others matches nothing.
		FaultRule rule = switch (this.cell.step()) {
			case EDIT_SENT ->
				FaultRule.on(Direction.REQUEST, FaultAction.HOLD).requestMatching("PUT \\S*" + ENTRY_NAME).build();
			case EDIT_WRITTEN ->
				FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching("PUT \\S*" + ENTRY_NAME).build();
			default -> FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching("never").build();
		};
		storeProxy.addRule(rule);
		if (this.cell.step() == Step.EDIT_ACKNOWLEDGED) {
			isolateFromStoreAndPeers(1);
		}
		if (this.cell.step() == Step.EDIT_ACKNOWLEDGED || this.cell.step() == Step.HEARD_BY_FIRST) {
			isolateFromStoreAndPeers(2);
		}
		return HeldStep.of(List.of(storeProxy), rule);
	}

	private void isolateFromStoreAndPeers(int daemon) {
		this.site.daemon(daemon).storeProxy().resetUntilRestored();
		this.site.site().isolateFromPeers(daemon);
	}

	private void awaitStep(HeldStep heldStep, CompletableFuture<OperatorResponse> edit, int limit) {
		switch (this.cell.step()) {
			case EDIT_SENT, EDIT_WRITTEN -> heldStep.awaitReached(this.cell.step());
			case EDIT_ACKNOWLEDGED -> edit.join();
			case HEARD_BY_FIRST -> awaitActiveLimit(1, limit);
			default -> {
				awaitActiveLimit(1, limit);
				awaitActiveLimit(2, limit);
			}
		}
	}

	private void awaitActiveLimit(int daemon, int limit) {
		ConditionWaiter.await(() -> activeLimit(daemon) == limit, () -> "daemon " + daemon + " did not apply the edit");
	}

	private OperatorResponse put(int daemon, String name, int limit) {
		String entry = TestSite.modelEntry(name, "bulk", true) + "limits:\n  concurrentRequests: " + limit + "\n";
		return this.site.daemon(daemon).operatorClient().putEntry(name, entry);
	}

	private static OperatorResponse awaitResponse(CompletableFuture<OperatorResponse> edit) {
		try {
			return edit.join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof UncheckedIOException) {
				return new OperatorResponse(0, "");
			}
			throw ex;
		}
	}

	private int activeLimit(int daemon) {
		return this.site.daemon(daemon)
			.operatorClient()
			.get("/v1/catalogue/" + ENTRY_NAME)
			.json()
			.at("/entry/limits/concurrentRequests")
			.asInt();
	}

	private long distinctDigestCount() {
		return this.site.site()
			.daemons()
			.stream()
			.map((daemon) -> daemon.operatorClient().get("/v1/status").json().path("catalogueDigest").asText())
			.distinct()
			.count();
	}

	private void check(boolean condition, String violation) {
		if (!condition) {
			this.violations.add(violation);
		}
	}

}
