package org.cyclamenstall.internal.operators;

import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.jspecify.annotations.Nullable;

/**
 * Thrown if a request of an operator is rejected. Carries the validation errors or, after
 * a conflict, the current record of the entry.
 */
final class OperatorRequestException extends RouterException {

	private final List<YamlProblem> problems;

	private final @Nullable CatalogueRecord currentRecord;

	OperatorRequestException(ErrorKind kind, String message, List<YamlProblem> problems,
			@Nullable CatalogueRecord currentRecord) {
		super(kind, message);
		this.problems = List.copyOf(problems);
		this.currentRecord = currentRecord;
	}

	OperatorRequestException(ErrorKind kind, String message) {
		this(kind, message, List.of(), null);
	}

	List<YamlProblem> problems() {
		return this.problems;
	}

	@Nullable CatalogueRecord currentRecord() {
		return this.currentRecord;
	}

}
