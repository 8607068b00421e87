package org.cyclamenstall.pgm.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Prints rows in aligned columns. Not thread-safe.
 */
final class TablePrinter {

	private final List<List<String>> rows = new ArrayList<>();

	TablePrinter(String... titles) {
		this.rows.add(List.of(titles));
	}

	void add(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell));
		}
		this.rows.add(row);
	}

	void print(PrintStream output) {
		int columns = this.rows.get(0).size();
		int[] widths = IntStream.range(0, columns)
			.map((column) -> this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(0))
			.toArray();
		for (List<String> row : this.rows) {
			output.println(IntStream.range(0, columns)
				.mapToObj((column) -> pad(row.get(column), widths[column]))
				.collect(Collectors.joining("  "))
				.stripTrailing());
		}
	}

	private static String pad(String text, int width) {
		return text + " ".repeat(width - text.length());
	}

}
