package org.cyclamenstall.test.integration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.junit.matrix.CellResult;
import org.cyclamenstall.junit.matrix.Fault;
import org.cyclamenstall.junit.matrix.MatrixCell;
import org.cyclamenstall.junit.matrix.MatrixTable;
import org.cyclamenstall.junit.matrix.Step;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

/**
 * Runs the fault matrix, which injects every fault at every step of a request or edit. A
 * fixed subset runs by default; {@code -Dcyclamenstall.matrix=full} runs all cells, and
 * {@code -Dcyclamenstall.matrix.write=true} writes the results to the documentation page.
 * {@code -Dcyclamenstall.matrix.seed} sets the seed of the first cell, and each following
 * cell uses the next number. With {@code -Dcyclamenstall.matrix.from}, a full run starts
 * at the cell with that seed.
 */
class FaultMatrixTests {

	private static final int DAEMONS = 3;

	private static final Set<Fault> QUICK_FAULTS = Set.of(Fault.KILL, Fault.ANSWER_LOST, Fault.STORE_OUTAGE);

	private static final Set<Step> QUICK_STEPS = Set.of(Step.CLAIM_SENT, Step.CLAIM_ACKNOWLEDGED, Step.SENT,
			Step.MID_STREAM, Step.EDIT_WRITTEN, Step.HEARD_BY_FIRST);

	private static final List<MatrixCell> ALL_CELLS = allCells();

	private static final MatrixTable TABLE = new MatrixTable(ALL_CELLS);

	private static TestSite site;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(DAEMONS));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	static Stream<MatrixCell> cells() {
		boolean full = "full".equals(System.getProperty("cyclamenstall.matrix"));
		long firstSeed = Long.getLong("cyclamenstall.matrix.from", 0);
		return ALL_CELLS.stream().filter((cell) -> full ? cell.seed() >= firstSeed : isQuick(cell));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("cells")
	void upholdsEveryGuarantee(MatrixCell cell) {
		CellResult result = cell.run(site);
		TABLE.record(cell, result);
		if (Boolean.getBoolean("cyclamenstall.matrix.write")) {
			TABLE.write(Path.of("..", "docs", "FAULT-MATRIX.md"));
		}
		assertThat(cell + ": " + result.summary(), result.violations(), empty());
	}

	private static boolean isQuick(MatrixCell cell) {
		return cell.faults().size() == 1 && QUICK_FAULTS.contains(cell.faults().get(0))
				&& QUICK_STEPS.contains(cell.step());
	}

	private static List<MatrixCell> allCells() {
		List<List<Fault>> singleFaults = Stream.of(Fault.values()).map(List::of).toList();
		List<MatrixCell> cells = new ArrayList<>();
		for (List<List<Fault>> faults : List.of(singleFaults, Fault.PAIRS)) {
			addCells(cells, MatrixCell.Flow.BOOKING, Step.BOOKING_STEPS, faults);
			addCells(cells, MatrixCell.Flow.CHAT, Step.CHAT_STEPS, faults);
			addCells(cells, MatrixCell.Flow.EDIT, Step.EDIT_STEPS, faults);
		}
		return cells;
	}

	private static void addCells(List<MatrixCell> cells, MatrixCell.Flow flow, List<Step> steps,
			List<List<Fault>> faults) {
		long seed = Long.getLong("cyclamenstall.matrix.seed", 1);
		for (Step step : steps) {
			for (List<Fault> faultsOfCell : faults) {
				cells.add(new MatrixCell(flow, step, faultsOfCell, seed + cells.size()));
			}
		}
	}

}
