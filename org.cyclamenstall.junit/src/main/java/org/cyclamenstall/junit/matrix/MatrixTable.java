package org.cyclamenstall.junit.matrix;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Collects the results of a matrix run and writes them as a table. Not thread-safe.
 */
public final class MatrixTable {

	private final Map<MatrixCell, @Nullable CellResult> results = new LinkedHashMap<>();

	/**
	 * Creates a table without results.
	 * @param cells the cells, in the order of the table rows
	 */
	public MatrixTable(List<MatrixCell> cells) {
		cells.forEach((cell) -> this.results.put(cell, null));
	}

	/**
	 * Records the result of a cell, replacing any earlier one.
	 * @param cell the cell
	 * @param result the result of the cell
	 */
	public void record(MatrixCell cell, CellResult result) {
		this.results.put(cell, result);
	}

	/**
	 * Writes the table as a Markdown page. Cells without a result are shown as not run.
	 * @param file the file to create or overwrite
	 */
	public void write(Path file) {
		StringBuilder page = new StringBuilder();
		long completed = this.results.values().stream().filter((result) -> result != null).count();
		long passed = this.results.values()
			.stream()
			.filter((result) -> result != null && result.violations().isEmpty())
			.count();
		page.append("# Fault matrix\n\nWritten by `FaultMatrixTests`; command, from the root:\n\n")
			.append("    mvn -B verify -pl org.cyclamenstall.test -am -Dtest='FaultMatrixTests*'")
			.append(" -Dsurefire.failIfNoSpecifiedTests=false")
			.append(" -Dcyclamenstall.matrix=full -Dcyclamenstall.matrix.write=true\n\n")
			.append(completed + " of " + this.results.size() + " cells ran, " + passed + " passed.\n\n")
			.append("Each cell checks the guarantees of [PROMISES.md](PROMISES.md): ")
			.append("the plain service executes a booking at most once, a request reported as `not-run` was not executed, ")
			.append("a chat receives the complete response, a typed error or a detectable interruption, ")
			.append("an accepted edit is in force on every daemon and does not revert.\n\n")
			.append("| request | step | fault | seed | what happened | result |\n|---|---|---|---|---|---|\n");
		this.results.forEach((cell, result) -> page.append(row(cell, result)));
		try {
			Files.writeString(file, page.toString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String row(MatrixCell cell, @Nullable CellResult result) {
		return "| " + cell.flow().name().toLowerCase(Locale.ROOT) + " | " + cell.step().label() + " | "
				+ cell.faultLabels() + " | " + cell.seed() + " | " + ((result != null) ? result.summary() : "") + " | "
				+ ((result != null) ? result.verdict() : "not run") + " |\n";
	}

}
