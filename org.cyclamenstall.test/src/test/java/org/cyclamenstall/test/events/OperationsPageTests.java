package org.cyclamenstall.test.events;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.cyclamenstall.events.Event;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;

/**
 * Tests that docs/OPERATIONS.md lists exactly the events of the code, and only metrics
 * that exist.
 */
class OperationsPageTests {

	private static final Pattern EVENT_ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\| ([^|]*)\\|");

	private static final Pattern METRIC = Pattern.compile("cyclamenstall_[a-z_]+");

	private static Path root() {
		Path root = Path.of("").toAbsolutePath();
		while (!Files.isRegularFile(root.resolve("docs").resolve("OPERATIONS.md"))) {
			root = root.getParent();
		}
		return root;
	}

	private static String page() throws IOException {
		return Files.readString(root().resolve("docs").resolve("OPERATIONS.md"));
	}

	private static String typeOf(Class<?> event) {
		return event.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
	}

	private static String rowOf(Class<?> event) {
		String fields = String.join(", ",
				Arrays.stream(event.getRecordComponents()).map((component) -> component.getName()).toList());
		return typeOf(event) + ": " + fields;
	}

	@Nested
	class TheTableOfEvents {

		@Test
		void hasARowWithTheFieldsOfEachType() throws IOException {
			List<String> rows = EVENT_ROW.matcher(page())
				.results()
				.map((row) -> row.group(1) + ": " + row.group(2).strip())
				.toList();
			List<String> expected = Arrays.stream(Event.class.getPermittedSubclasses())
				.map(OperationsPageTests::rowOf)
				.toList();
			assertThat(rows, containsInAnyOrder(expected.toArray()));
		}

	}

	@Nested
	class TheMetrics {

		@Test
		void allExistInTheCode() throws IOException {
			Path sources = root().resolve("org.cyclamenstall").resolve("src").resolve("main");
			try (var files = Files.walk(sources)) {
				String code = String.join("\n",
						files.filter((file) -> file.toString().endsWith(".java")).map(this::read).toList());
				List<String> existing = METRIC.matcher(code).results().map(MatchResult::group).distinct().toList();
				List<String> documented = METRIC.matcher(page()).results().map(MatchResult::group).distinct().toList();
				assertThat(documented, everyItem(in(existing)));
			}
		}

		private String read(Path file) {
			try {
				return Files.readString(file);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
