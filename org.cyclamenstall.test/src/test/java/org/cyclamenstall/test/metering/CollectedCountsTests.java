package org.cyclamenstall.test.metering;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.cyclamenstall.internal.metering.CollectedCounts;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests of {@link CollectedCounts}.
 */
class CollectedCountsTests {

	private static final long WINDOW = 40;

	private final CollectedCounts counts = new CollectedCounts();

	private static LoadEndpoint daemon(int number) {
		return new LoadEndpoint(new InetSocketAddress("127.0.0.1", 1_000 + number), "a");
	}

	@Nested
	class Messages {

		// Guards against counts that depend on how the datagrams arrive.
		@Test
		void mayBeLostDoubledAndReordered() {
			List<Runnable> messages = new ArrayList<>();
			for (int daemon = 0; daemon < 5; daemon++) {
				LoadEndpoint sender = daemon(daemon);
				for (int count = 0; count <= 10; count++) {
					Map<String, Integer> byAccount = Map.of("office", count, "depot", 2 * count);
					Runnable message = () -> CollectedCountsTests.this.counts.merge(sender, 1, WINDOW, byAccount);
					messages.add(message);
					messages.add(message);
				}
			}
			Collections.shuffle(messages, new Random(1));
			messages.forEach(Runnable::run);
			assertThat(CollectedCountsTests.this.counts.totals(WINDOW), equalTo(Map.of("office", 50L, "depot", 100L)));
		}

	}

	@Nested
	class Daemons {

		@Test
		void thatRestartAddToWhatTheyHadCounted() {
			CollectedCountsTests.this.counts.merge(daemon(1), 100, WINDOW, Map.of("office", 7));
			CollectedCountsTests.this.counts.merge(daemon(1), 200, WINDOW, Map.of("office", 2));
			assertThat(CollectedCountsTests.this.counts.totals(WINDOW), equalTo(Map.of("office", 9L)));
		}

		@Test
		void withoutRequestsMakeTheWindowKnown() {
			CollectedCountsTests.this.counts.merge(daemon(1), 1, WINDOW, Map.of());
			assertThat(CollectedCountsTests.this.counts.windows(), contains(WINDOW));
			assertThat(CollectedCountsTests.this.counts.totals(WINDOW), equalTo(Map.of()));
		}

	}

}
