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
 * Runs the fault matrix: every fault at every step. A fixed subset runs by default; all
 * cells run with {@code -Dcyclamenstall.matrix=full}, and the page is written with
 * {@code -Dcyclamenstall.matrix.write=true}. The seed of the first cell is set with
 * {@code -Dcyclamenstall.matrix.seed}; the next cells count up from it. With
 * {@code -Dcyclamenstall.matrix.from} a full run begins at the cell of that seed.
 */
class FaultMatrixTests {

	private static final int DAEMONS = 3;

	private static final Set<Fault> QUICK_FAULTS = Set.of(Fault.KILL, Fault.ANSWER_LOST, Fault.STORE_OUTAGE);

	private static final Set<Step> QUICK_STEPS = Set.of(Step.CLAIM_SENT, Step.CLAIM_ACKNOWLEDGED, Step.SENT,
			Step.MID_STREAM, Step.EDIT_WRITTEN, Step.HEARD_BY_FIRST);

	private static final List<MatrixCell> ALL_CELLS = allCells();

	private static final MatrixTable table = new MatrixTable(ALL_CELLS);

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
		long from = Long.getLong("cyclamenstall.matrix.from", 0);
		return ALL_CELLS.stream().filter((cell) -> full ? cell.seed() >= from : isQuick(cell));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("cells")
	void holdsEveryPromise(MatrixCell cell) {
		CellResult result = cell.run(site);
		table.record(cell, result);
		if (Boolean.getBoolean("cyclamenstall.matrix.write")) {
			table.write(Path.of("..", "docs", "FAULT-MATRIX.md"));
		}
		assertThat(cell + ": " + result.happened(), result.violations(), empty());
	}

	private static boolean isQuick(MatrixCell cell) {
		return cell.faults().size() == 1 && QUICK_FAULTS.contains(cell.faults().get(0))
				&& QUICK_STEPS.contains(cell.step());
	}

	private static List<MatrixCell> allCells() {
		List<List<Fault>> single = Stream.of(Fault.values()).map(List::of).toList();
		List<MatrixCell> cells = new ArrayList<>();
		for (List<List<Fault>> faults : List.of(single, Fault.PAIRS)) {
			addCells(cells, MatrixCell.Flow.BOOKING, Step.OF_BOOKING, faults);
			addCells(cells, MatrixCell.Flow.CHAT, Step.OF_CHAT, faults);
			addCells(cells, MatrixCell.Flow.EDIT, Step.OF_EDIT, faults);
		}
		return cells;
	}

	private static void addCells(List<MatrixCell> cells, MatrixCell.Flow flow, List<Step> steps,
			List<List<Fault>> faults) {
		long seed = Long.getLong("cyclamenstall.matrix.seed", 1);
		for (Step step : steps) {
			for (List<Fault> each : faults) {
				cells.add(new MatrixCell(flow, step, each, seed + cells.size()));
			}
		}
	}

}
