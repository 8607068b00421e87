package org.cyclamenstall.test.errors;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorResponse;
import org.cyclamenstall.errors.ErrorTable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that docs/ERRORS.md matches {@link ErrorTable} and the Javadoc of
 * {@link ErrorKind}. Run with {@code -Dcyclamenstall.writeErrorsPage=true} to regenerate
 * the page.
 */
class ErrorsPageTests {

	private static final Path PAGE = Path.of("docs", "ERRORS.md");

	private static final Path SOURCE = Path.of("org.cyclamenstall", "src", "main", "java", "org", "cyclamenstall",
			"errors", "ErrorKind.java");

	private static Path root() {
		Path root = Path.of("").toAbsolutePath();
		while (!Files.isRegularFile(root.resolve(SOURCE))) {
			root = root.getParent();
		}
		return root;
	}

	private static String render(String source) {
		StringBuilder page = new StringBuilder("""
				# Errors

				Every error response carries its kind (`X-Error-Kind`), its outcome (`X-Outcome`) and the
				request identifier (`X-Request-Id`); the body is
				`{"error":{"kind":"...","outcome":"...","message":"...","request_id":"..."}}`.

				- `not-run`: no upstream has executed or will execute the request.
				- `unknown`: the request may have been executed.
				- `ran`: an upstream executed the request.

				The outcome in this table applies if only the error kind is known. Retry-After is in seconds.
				The exit code is that of the command-line tool. This page is generated from `ErrorTable` and
				checked by `ErrorsPageTests`.

				| kind | status | outcome | Retry-After | exit code | meaning |
				|---|---|---|---|---|---|
				""");
		for (ErrorKind kind : ErrorKind.values()) {
			ErrorResponse response = ErrorTable.responseFor(kind);
			page.append("| `%s` | %d | `%s` | %s | %d | %s |%n".formatted(kind.code(), response.status(),
					response.outcome().label(),
					(response.retryAfter() != null) ? String.valueOf(response.retryAfter().toSeconds()) : "",
					response.exitCode(), meaning(kind, source)));
		}
		return page.toString();
	}

	private static String meaning(ErrorKind kind, String source) {
		Matcher matcher = Pattern.compile("/\\*\\*\\s*([^/]*?)\\s*\\*/\\s*" + kind.name() + "\\b").matcher(source);
		if (!matcher.find()) {
			throw new IllegalStateException("No Javadoc on " + kind);
		}
		return matcher.group(1).replaceAll("\\s*\\n\\s*\\*\\s*", " ").strip();
	}

	@Nested
	class ThePage {

		@Test
		void matchesTheTable() throws IOException {
			Path page = root().resolve(PAGE);
			String expected = render(Files.readString(root().resolve(SOURCE)));
			if (Boolean.getBoolean("cyclamenstall.writeErrorsPage")) {
				Files.writeString(page, expected);
			}
			assertThat(Files.readString(page), is(expected));
		}

	}

}
