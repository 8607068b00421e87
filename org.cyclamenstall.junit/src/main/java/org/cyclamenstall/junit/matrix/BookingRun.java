package org.cyclamenstall.junit.matrix;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.caller.CallerCall;

/**
 * Runs a cell of a booking: pressed at daemon 0 under the faults, pressed again at
 * another daemon after they ended. Used once, by one thread.
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
		this.key = site.newKey();
	}

	CellResult call() {
		StepHolder holder = new StepHolder(this.site, this.random, this.site.site().services(), this.key);
		HeldStep held = (this.cell.step() == Step.END) ? holder.holdEndOfClaim()
				: holder.prepare(this.cell.step(), this::occupy);
		CallerCall call = this.site.callerThroughProxy(0).startBooking(TestSite.BOOKINGS, this.key, "{}");
		held.awaitReached(this.cell.step());
		this.cell.strike(this.site, held);
		CallerAnswer first = call.answer();
		long afterFirst = executions();
		judge("first", first, afterFirst);
		this.site.restore();
		CallerAnswer second = this.site.caller(1 + this.random.nextInt(2)).book(TestSite.BOOKINGS, this.key, "{}");
		judge("second", second, executions());
		check(executions() >= afterFirst && executions() <= 1, "ran " + executions() + " times");
		return new CellResult("first: " + AnswerDescription.of(first) + ", ran " + afterFirst + "; second: "
				+ AnswerDescription.of(second) + ", ran " + executions(), this.violations);
	}

	private void judge(String press, CallerAnswer answer, long executions) {
		if (answer.status() == 200 && answer.failure().isEmpty()) {
			check(executions == 1, press + " press was answered and ran " + executions + " times");
			check(answer.json().path("key").asText().equals(this.key), press + " press got another answer");
		}
		else if (answer.outcome().equals("not-run")) {
			check(executions == 0, press + " press was told not-run and ran");
		}
		else {
			check(answer.failure().isPresent() || !answer.errorKind().isEmpty(),
					press + " press got no typed answer: " + answer);
		}
	}

	private CallerCall occupy(int index) {
		return this.site.caller(0).startLookUp(TestSite.BOOKINGS + "/" + StepHolder.OCCUPIER + index);
	}

	private long executions() {
		return this.site.site().executionsOfKey(this.key);
	}

	private void check(boolean holds, String violation) {
		if (!holds) {
			this.violations.add(violation);
		}
	}

}
