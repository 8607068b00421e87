package org.cyclamenstall.junit.matrix;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatForm;

/**
 * Runs a cell of a streamed chat: asked of daemon 0 under the faults. Used once, by one
 * thread.
 */
final class ChatRun {

	private static final int TOKENS = 30;

	private final TestSite site;

	private final MatrixCell cell;

	private final UniformRandomProvider random;

	private final String text;

	ChatRun(TestSite site, MatrixCell cell, UniformRandomProvider random) {
		this.site = site;
		this.cell = cell;
		this.random = random;
		this.text = site.newKey();
	}

	CellResult call() {
		String model = this.random.nextBoolean() ? TestSite.CHAT : TestSite.FIXED_CHAT;
		String expected = this.site.engineCaller().chat(model, this.text, TOKENS, ChatForm.STREAMED).text();
		this.site.fillRetryBudget(0);
		StepHolder holder = new StepHolder(this.site, this.random, this.site.site().engines(), this.text);
		HeldStep held = holder.prepare(this.cell.step(), this::occupy);
		CallerCall call = this.site.callerThroughProxy(0).startChat(model, this.text, TOKENS, ChatForm.STREAMED);
		held.awaitReached(this.cell.step());
		this.cell.strike(this.site, held);
		CallerAnswer answer = call.answer();
		List<String> violations = new ArrayList<>();
		if (answer.looksWhole()) {
			check(answer.text().equals(expected), "the whole answer is not the right one", violations);
		}
		else {
			check(answer.failure().isPresent() || !answer.errorKind().isEmpty(), "no typed answer: " + answer,
					violations);
			check(!answer.isStream() || expected.startsWith(answer.text()), "the cut answer is not the right one",
					violations);
		}
		return new CellResult(model + ": " + AnswerDescription.of(answer)
				+ (answer.looksWhole() ? ", whole" : ", " + answer.tokens().size() + " tokens"), violations);
	}

	private CallerCall occupy(int index) {
		return this.site.caller(0)
			.startChat(TestSite.FIXED_CHAT, StepHolder.OCCUPIER + index, TOKENS, ChatForm.STREAMED);
	}

	private static void check(boolean holds, String violation, List<String> violations) {
		if (!holds) {
			violations.add(violation);
		}
	}

}
