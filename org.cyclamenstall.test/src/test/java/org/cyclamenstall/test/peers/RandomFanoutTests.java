package org.cyclamenstall.test.peers;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.peers.RandomFanout;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RandomFanout}.
 */
class RandomFanoutTests {

	private final RandomFanout selection = new RandomFanout(4, RandomSource.XO_RO_SHI_RO_128_PP.create(7L));

	@Nested
	class EachCycle {

		@Test
		void selectsEveryPeerOnce() {
			List<String> hosts = IntStream.range(0, 40).mapToObj((number) -> "gara-" + number).toList();
			Set<String> selectedHosts = new HashSet<>();
			for (int round = 0; round < 10; round++) {
				List<String> selected = RandomFanoutTests.this.selection.select(hosts);
				assertThat(selected, hasSize(4));
				selectedHosts.addAll(selected);
			}
			assertThat(selectedHosts, is(Set.copyOf(hosts)));
		}

		@Test
		void skipsRemovedPeers() {
			List<String> hosts = IntStream.range(0, 40).mapToObj((number) -> "gara-" + number).toList();
			RandomFanoutTests.this.selection.select(hosts);
			assertThat(RandomFanoutTests.this.selection.select(List.of("gara-1")), contains("gara-1"));
			assertThat(RandomFanoutTests.this.selection.select(List.of()), empty());
		}

	}

}
