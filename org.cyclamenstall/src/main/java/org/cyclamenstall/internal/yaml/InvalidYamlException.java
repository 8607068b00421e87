package org.cyclamenstall.internal.yaml;

import java.util.List;
import java.util.stream.Collectors;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Thrown if a document cannot be read or is invalid, with all problems found.
 */
public class InvalidYamlException extends RouterException {

	private final List<YamlProblem> problems;

	/**
	 * Creates an exception.
	 * @param kind the kind of error
	 * @param source the name of the document, such as its file
	 * @param problems the problems, at least one
	 */
	public InvalidYamlException(ErrorKind kind, String source, List<YamlProblem> problems) {
		super(kind,
				problems.stream()
					.map((problem) -> source + ":" + problem.line() + ": " + problem.field()
							+ (problem.field().isEmpty() ? "" : ": ") + problem.message())
					.collect(Collectors.joining("; ")));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns the problems of the document.
	 * @return the problems, sorted by line
	 */
	public List<YamlProblem> problems() {
		return this.problems;
	}

}
