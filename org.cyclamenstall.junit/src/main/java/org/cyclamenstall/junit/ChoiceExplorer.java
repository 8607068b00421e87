package org.cyclamenstall.junit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs a deterministic scenario once for every sequence of choices that it can make,
 * depth first. The scenario asks for each choice and must ask the same questions after
 * the same answers. Not thread-safe.
 */
public final class ChoiceExplorer {

	private final List<Integer> path = new ArrayList<>();

	private final List<Integer> widths = new ArrayList<>();

	private int position;

	/**
	 * Runs a scenario for every sequence of choices.
	 * @param scenario the scenario, which calls {@link #choose(int)}
	 * @return the number of runs
	 * @throws AssertionError if a run fails, with the choices that led there
	 */
	public long exploreAll(Consumer<ChoiceExplorer> scenario) {
		long runs = 0;
		do {
			this.position = 0;
			runs++;
			run(scenario);
		}
		while (advance());
		return runs;
	}

	/**
	 * Makes the next choice.
	 * @param options the number of options, at least one
	 * @return the chosen option, from zero
	 */
	public int choose(int options) {
		if (this.position == this.path.size()) {
			this.path.add(0);
			this.widths.add(options);
		}
		if (this.widths.get(this.position) != options) {
			throw new IllegalStateException("The scenario is not deterministic");
		}
		return this.path.get(this.position++);
	}

	/**
	 * Makes the next choice among values.
	 * @param <T> the type of values
	 * @param options the values, at least one
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
			throw new AssertionError("Failed after the choices " + this.path.subList(0, this.position), ex);
		}
	}

	private boolean advance() {
		for (int last = this.path.size() - 1; last >= 0; last--) {
			int next = this.path.get(last) + 1;
			if (next < this.widths.get(last)) {
				this.path.set(last, next);
				return true;
			}
			this.path.remove(last);
			this.widths.remove(last);
		}
		return false;
	}

}
