package org.cyclamenstall.test.store;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.internal.store.StoreGenerations;
import org.cyclamenstall.store.StoreVersions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link StoreGenerations} and {@link StoreVersions}.
 */
class StoreGenerationsTests {

	private final StoreGenerations generations = new StoreGenerations();

	private final List<Long> seen = new ArrayList<>();

	StoreGenerationsTests() {
		this.generations.addListener(this.seen::add);
	}

	@Nested
	class WhenNoGenerationWasSeen {

		@ParameterizedTest
		@NullSource
		@ValueSource(strings = { "", "x", "-1", "1.5", "99999999999999999999", "9223372036854775807" })
		void aResponseWithoutAReadableOneIsIgnored(String text) {
			assertThat(StoreGenerationsTests.this.generations.accept(text), is(true));
			assertThat(StoreGenerationsTests.this.generations.current(), is(0L));
		}

		@Test
		void theFirstOneCountsAsARestore() {
			assertThat(StoreGenerationsTests.this.generations.accept("4"), is(true));
			assertThat(StoreGenerationsTests.this.generations.restoreCount(), is(0L));
		}

	}

	@Nested
	class WhenAGenerationWasSeen {

		WhenAGenerationWasSeen() {
			StoreGenerationsTests.this.generations.accept("4");
		}

		@ParameterizedTest
		@NullSource
		@ValueSource(strings = { "3", "", "x", "-5", "9223372036854775807" })
		void aLowerOrUnreadableOneIsUsed(String text) {
			assertThat(StoreGenerationsTests.this.generations.accept(text), is(false));
			assertThat(StoreGenerationsTests.this.generations.current(), is(4L));
			assertThat(StoreGenerationsTests.this.generations.voidCount(), is(1L));
		}

		@Test
		void aHigherOneIsNotToldToTheListeners() {
			StoreGenerationsTests.this.generations.accept("4");
			StoreGenerationsTests.this.generations.accept("6");
			assertThat(StoreGenerationsTests.this.seen, contains(4L, 6L));
			assertThat(StoreGenerationsTests.this.generations.restoreCount(), is(1L));
		}

	}

	@Nested
	class Versions {

		@Test
		void doNotGrowAcrossARestore() {
			assertThat(StoreVersions.of(3, 1), greaterThan(StoreVersions.of(2, StoreVersions.MAXIMUM_REVISION)));
		}

		@Test
		void doNotContainTheirParts() {
			long version = StoreVersions.of(StoreVersions.MAXIMUM_GENERATION, StoreVersions.MAXIMUM_REVISION);
			assertThat(version, greaterThan(0L));
			assertThat(StoreVersions.generation(version), equalTo(StoreVersions.MAXIMUM_GENERATION));
			assertThat(StoreVersions.revision(version), equalTo(StoreVersions.MAXIMUM_REVISION));
		}

		@Test
		void ofAStoreWithoutGenerationsAreNotItsRevisions() {
			assertThat(StoreVersions.of(0, 12), equalTo(12L));
		}

		@Test
		void areFormedOfNumbersOutOfRange() {
			assertThat(isFormed(1, StoreVersions.MAXIMUM_REVISION + 1), is(false));
			assertThat(isFormed(StoreVersions.MAXIMUM_GENERATION + 1, 1), is(false));
			assertThat(isFormed(1, -1), is(false));
		}

		private static boolean isFormed(long generation, long revision) {
			try {
				StoreVersions.of(generation, revision);
				return true;
			}
			catch (IllegalArgumentException ex) {
				return false;
			}
		}

	}

}
