package org.cyclamenstall.internal.operators;

import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.jspecify.annotations.Nullable;

/**
 * Refuses an operator's request, with the faults found or the record that came first.
 */
final class OperatorFailure extends RouterException {

	private final List<YamlProblem> problems;

	private final @Nullable CatalogueRecord winner;

	OperatorFailure(ErrorKind kind, String message, List<YamlProblem> problems, @Nullable CatalogueRecord winner) {
		super(kind, message);
		this.problems = List.copyOf(problems);
		this.winner = winner;
	}

	OperatorFailure(ErrorKind kind, String message) {
		this(kind, message, List.of(), null);
	}

	List<YamlProblem> problems() {
		return this.problems;
	}

	@Nullable CatalogueRecord winner() {
		return this.winner;
	}

}
