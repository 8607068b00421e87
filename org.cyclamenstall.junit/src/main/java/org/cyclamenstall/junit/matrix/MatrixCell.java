package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.junit.TestSite;

/**
 * Names one cell of the fault matrix. Immutable.
 *
 * @param flow the request or edit
 * @param step the step at which the faults strike
 * @param faults the faults in their order
 * @param seed the seed of whatever the cell draws at random
 */
public record MatrixCell(Flow flow, Step step, List<Fault> faults, long seed) {

	/**
	 * Runs the cell and restores the site.
	 * @param site the site
	 * @return what happened
	 */
	public CellResult run(TestSite site) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(this.seed);
		try {
			return switch (this.flow) {
				case BOOKING -> new BookingRun(site, this, random).call();
				case CHAT -> new ChatRun(site, this, random).call();
				case EDIT -> new EditRun(site, this, random).call();
			};
		}
		finally {
			site.restore();
		}
	}

	/**
	 * Returns the faults as the table spells them.
	 * @return the labels
	 */
	public String faultLabels() {
		return this.faults.stream().map(Fault::label).collect(Collectors.joining(" + "));
	}

	@Override
	public String toString() {
		return this.flow.name().toLowerCase(Locale.ROOT) + " " + this.step.label() + " " + faultLabels() + " seed "
				+ this.seed;
	}

	void strike(TestSite site, HeldStep held) {
		this.faults.forEach((fault) -> fault.strike(site, held));
	}

	/**
	 * Lists what the faults strike.
	 */
	public enum Flow {

		/** A named booking of a plain service. */
		BOOKING,

		/** A streamed chat completion. */
		CHAT,

		/** An edit of the catalogue. */
		EDIT

	}

}
