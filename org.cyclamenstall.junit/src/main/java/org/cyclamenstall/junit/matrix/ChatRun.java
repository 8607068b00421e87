package org.cyclamenstall.junit.matrix;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;

/**
 * Runs one cell of the fault matrix with a streamed chat, which is sent to daemon 0 while
 * the faults are injected. Used once, by one thread.
 */
final class ChatRun {

	private static final int TOKENS = 30;

	private final TestSite site;

	private final MatrixCell cell;

	private final UniformRandomProvider random;

	/** Unique, so that the fault rules match only this chat. */
	private final String prompt;

	ChatRun(TestSite site, MatrixCell cell, UniformRandomProvider random) {
		this.site = site;
		this.cell = cell;
		this.random = random;
		this.prompt = site.newIdempotencyKey();
	}

	CellResult run() {
		String model = this.random.nextBoolean() ? TestSite.CHAT : TestSite.NON_RESUMABLE_CHAT;
		String expectedText = this.site.engineCaller()
			.chat(model, this.prompt, TOKENS, ChatResponseForm.STREAMED)
			.text();
		this.site.fillRetryBudget(0);
		StepHolder holder = new StepHolder(this.site, this.random, this.site.site().engines(), this.prompt);
		HeldStep heldStep = holder.holdAt(this.cell.step(), this::startOccupier);
		CallerCall call = this.site.callerThroughProxy(0)
			.startChat(model, this.prompt, TOKENS, ChatResponseForm.STREAMED);
		heldStep.awaitReached(this.cell.step());
		this.cell.injectFaults(this.site, heldStep);
		CallerResponse response = call.awaitResponse();
		List<String> violations = new ArrayList<>();
		if (response.isComplete()) {
			check(response.text().equals(expectedText), "the complete response differs from the expected text",
					violations);
		}
		else {
			check(response.failure().isPresent() || !response.errorKind().isEmpty(),
					"neither a complete response nor a typed error: " + response, violations);
			check(!response.isStream() || expectedText.startsWith(response.text()),
					"the truncated response is not a prefix of the expected text", violations);
		}
		return new CellResult(
				model + ": " + ResponseDescription.of(response)
						+ (response.isComplete() ? ", whole" : ", " + response.tokens().size() + " tokens"),
				violations);
	}

	private CallerCall startOccupier(int index) {
		return this.site.caller(0)
			.startChat(TestSite.NON_RESUMABLE_CHAT, StepHolder.OCCUPIER + index, TOKENS, ChatResponseForm.STREAMED);
	}

	private static void check(boolean condition, String violation, List<String> violations) {
		if (!condition) {
			violations.add(violation);
		}
	}

}
