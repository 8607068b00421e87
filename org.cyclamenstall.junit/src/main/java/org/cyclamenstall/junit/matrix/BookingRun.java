package org.cyclamenstall.junit.matrix;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;

/**
 * Runs one cell of the fault matrix with a booking. The booking is submitted to daemon 0
 * while the faults are injected, and again with the same idempotency key to another
 * daemon after they have been cleared. Used once, by one thread.
 */
final class BookingRun {

	private final TestSite site;

	private final MatrixCell cell;

	private final UniformRandomProvider random;

	private final String key;

	private final List<String> violations = new ArrayList<>();

	BookingRun(TestSite site, MatrixCell cell, UniformRandomProvider random) {
		this.site = site;
		this.cell = cell;
		this.random = random;
		this.key = site.newIdempotencyKey();
	}

	CellResult run() {
		StepHolder holder = new StepHolder(this.site, this.random, this.site.site().services(), this.key);
		HeldStep heldStep = (this.cell.step() == Step.END) ? holder.holdClaimOutcome()
				: holder.holdAt(this.cell.step(), this::startOccupier);
		CallerCall firstCall = this.site.callerThroughProxy(0).startPostWithKey(TestSite.BOOKINGS, this.key, "{}");
		heldStep.awaitReached(this.cell.step());
		this.cell.injectFaults(this.site, heldStep);
		CallerResponse first = firstCall.awaitResponse();
		long executionsAfterFirst = executions();
		checkResponse("first", first, executionsAfterFirst);
		this.site.restore();
		CallerResponse second = this.site.caller(1 + this.random.nextInt(2))
			.postWithKey(TestSite.BOOKINGS, this.key, "{}");
		checkResponse("second", second, executions());
		check(executions() >= executionsAfterFirst && executions() <= 1,
				"the booking was executed " + executions() + " times");
		return new CellResult("first: " + ResponseDescription.of(first) + ", ran " + executionsAfterFirst + "; second: "
				+ ResponseDescription.of(second) + ", ran " + executions(), this.violations);
	}

	private void checkResponse(String submission, CallerResponse response, long executions) {
		if (response.status() == 200 && response.failure().isEmpty()) {
			check(executions == 1,
					submission + " submission succeeded but the booking was executed " + executions + " times");
			check(response.json().path("key").asText().equals(this.key),
					submission + " submission got the response to another booking");
		}
		else if (response.outcome().equals("not-run")) {
			check(executions == 0, submission + " submission was reported as not-run but the booking was executed");
		}
		else {
			check(response.failure().isPresent() || !response.errorKind().isEmpty(),
					submission + " submission got neither a response nor a typed error: " + response);
		}
	}

	private CallerCall startOccupier(int index) {
		return this.site.caller(0).startGet(TestSite.BOOKINGS + "/" + StepHolder.OCCUPIER + index);
	}

	private long executions() {
		return this.site.site().executionsOfKey(this.key);
	}

	private void check(boolean condition, String violation) {
		if (!condition) {
			this.violations.add(violation);
		}
	}

}
