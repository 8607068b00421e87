package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.junit.TestSite;

/**
 * Represents one cell of the fault matrix. Immutable.
 *
 * @param flow the operation during which the faults are injected
 * @param step the step at which the faults are injected
 * @param faults the faults, in the order of injection
 * @param seed the seed of the random number generator of the cell
 */
public record MatrixCell(Flow flow, Step step, List<Fault> faults, long seed) {

	/**
	 * Runs the cell and then restores the site.
	 * @param site the site
	 * @return the result
	 */
	public CellResult run(TestSite site) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(this.seed);
		try {
			return switch (this.flow) {
				case BOOKING -> new BookingRun(site, this, random).run();
				case CHAT -> new ChatRun(site, this, random).run();
				case EDIT -> new EditRun(site, this, random).run();
			};
		}
		finally {
			site.restore();
		}
	}

	/**
	 * Returns the labels of the faults as shown in the table.
	 * @return the labels, joined by plus signs
	 */
	public String faultLabels() {
		return this.faults.stream().map(Fault::label).collect(Collectors.joining(" + "));
	}

	@Override
	public String toString() {
		return this.flow.name().toLowerCase(Locale.ROOT) + " " + this.step.label() + " " + faultLabels() + " seed "
				+ this.seed;
	}

	void injectFaults(TestSite site, HeldStep heldStep) {
		this.faults.forEach((fault) -> fault.inject(site, heldStep));
	}

	/**
	 * Defines the operations during which faults are injected.
	 */
	public enum Flow {

		/** A booking request with an idempotency key to a plain service. */
		BOOKING,

		/** A streamed chat completion. */
		CHAT,

		/** A catalogue edit. */
		EDIT

	}

}
