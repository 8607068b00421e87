package org.cyclamenstall.junit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Enumerates all choice sequences of a deterministic scenario in depth-first order and
 * runs the scenario once for each. The scenario calls {@link #choose(int)} at each choice
 * point and must make the same calls after the same choices. Not thread-safe.
 */
public final class ChoiceExplorer {

	private final List<Integer> choices = new ArrayList<>();

	private final List<Integer> optionCounts = new ArrayList<>();

	private int position;

	/**
	 * Runs a scenario once for every sequence of choices.
	 * @param scenario the scenario, which calls {@link #choose(int)} at each choice point
	 * @return the number of runs
	 * @throws AssertionError if a run fails; the message lists the choices of that run
	 */
	public long exploreAll(Consumer<ChoiceExplorer> scenario) {
		long runs = 0;
		do {
			this.position = 0;
			runs++;
			run(scenario);
		}
		while (selectNextSequence());
		return runs;
	}

	/**
	 * Returns the option chosen at the next choice point of the current run.
	 * @param optionCount the number of options, at least one
	 * @return the index of the chosen option, starting at zero
	 */
	public int choose(int optionCount) {
		if (this.position == this.choices.size()) {
			this.choices.add(0);
			this.optionCounts.add(optionCount);
		}
		if (this.optionCounts.get(this.position) != optionCount) {
			throw new IllegalStateException(
					"scenario is not deterministic: number of options differs from an earlier run");
		}
		return this.choices.get(this.position++);
	}

	/**
	 * Returns the value chosen at the next choice point of the current run.
	 * @param <T> the type of the values
	 * @param options the values to choose from, at least one
	 * @return the chosen value
	 */
	public <T> T choose(List<T> options) {
		return options.get(choose(options.size()));
	}

	private void run(Consumer<ChoiceExplorer> scenario) {
		try {
			scenario.accept(this);
		}
		catch (AssertionError | RuntimeException ex) {
			throw new AssertionError("scenario failed after the choices " + this.choices.subList(0, this.position), ex);
		}
	}

	private boolean selectNextSequence() {
		for (int last = this.choices.size() - 1; last >= 0; last--) {
			int next = this.choices.get(last) + 1;
			if (next < this.optionCounts.get(last)) {
				this.choices.set(last, next);
				return true;
			}
			this.choices.remove(last);
			this.optionCounts.remove(last);
		}
		return false;
	}

}
