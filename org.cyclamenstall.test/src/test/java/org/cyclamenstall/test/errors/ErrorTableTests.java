package org.cyclamenstall.test.errors;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ErrorTable}.
 */
class ErrorTableTests {

	@Nested
	class EveryKind {

		@ParameterizedTest
		@EnumSource(ErrorKind.class)
		void hasAnErrorStatus(ErrorKind kind) {
			assertThat(ErrorTable.responseFor(kind).status(), both(greaterThanOrEqualTo(400)).and(lessThan(600)));
		}

	}

}
