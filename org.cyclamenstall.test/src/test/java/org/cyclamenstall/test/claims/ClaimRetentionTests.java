package org.cyclamenstall.test.claims;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.internal.claims.ClaimRetention;
import org.cyclamenstall.junit.StoreCall;
import org.cyclamenstall.junit.StoreOperation;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.StoreSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ClaimRetention}.
 */
class ClaimRetentionTests {

	private static final int RETENTION_SECONDS = 3_600;

	private final ClaimTestCluster cluster = new ClaimTestCluster("gara-1");

	private ClaimRetention retention(String host) {
		return new ClaimRetention(this.cluster.store(), new StoreSettings(null, "127.0.0.1", 1, "test", null, null),
				new ClaimSettings(null, RETENTION_SECONDS, null), new FixedMembership(host), this.cluster.clock(),
				new PrometheusRegistry());
	}

	private int cleanAllShards() {
		ClaimRetention retention = retention("gara-1");
		return IntStream.range(0, 4_096).map(retention::cleanShard).sum();
	}

	@Nested
	class AClaimRecord {

		@Test
		void isKeptForTheRetentionPeriodAndThenDeleted() {
			ClaimRetentionTests.this.cluster
				.execute(((ClaimDecision.Granted) ClaimRetentionTests.this.cluster.submit("gara-1")).claim());
			ClaimRetentionTests.this.cluster.settleAll();
			ClaimRetentionTests.this.cluster.clock().advance(Duration.ofSeconds(RETENTION_SECONDS));
			assertThat(cleanAllShards(), is(0));
			assertThat(ClaimRetentionTests.this.cluster.submit("gara-1"), instanceOf(ClaimDecision.Replayed.class));
			ClaimRetentionTests.this.cluster.clock().advance(Duration.ofSeconds(1));
			assertThat(cleanAllShards(), is(1));
			assertThat(ClaimRetentionTests.this.cluster.store().snapshot(), hasSize(0));
		}

		@Test
		void withoutFinalOutcomeIsKeptForADay() {
			ClaimRetentionTests.this.cluster.submit("gara-1");
			ClaimRetentionTests.this.cluster.clock().advance(Duration.ofDays(1));
			assertThat(cleanAllShards(), is(0));
			ClaimRetentionTests.this.cluster.clock().advance(Duration.ofSeconds(1));
			assertThat(cleanAllShards(), is(1));
		}

		@Test
		void thatWasReplacedBeforeItsDeletionIsKept() {
			ClaimRetentionTests.this.cluster.submit("gara-1");
			ClaimRetentionTests.this.cluster.clock().advance(Duration.ofDays(2));
			ClaimRetentionTests.this.cluster.store().setBeforeOperationHook(this::replaceBeforeDeletion);
			assertThat(cleanAllShards(), is(0));
			assertThat(ClaimRetentionTests.this.cluster.store().snapshot(), hasSize(1));
		}

		private void replaceBeforeDeletion(StoreCall call) {
			if (call.operation() == StoreOperation.DELETE) {
				ClaimRetentionTests.this.cluster.submit("gara-1");
			}
		}

	}

	@Nested
	class AShard {

		@Test
		void hasOneOwnerAmongTheDaemons() {
			List<ClaimRetention> retentions = FixedMembership.HOSTS.stream()
				.map(ClaimRetentionTests.this::retention)
				.toList();
			for (int shard = 0; shard < 256; shard++) {
				int shardNumber = shard;
				assertThat(retentions.stream().filter((retention) -> retention.isOwner(shardNumber)).toList(),
						hasSize(1));
			}
		}

	}

	/**
	 * A membership of three live daemons.
	 */
	private record FixedMembership(String host) implements Membership {

		static final List<String> HOSTS = List.of("gara-1", "gara-2", "gara-3");

		@Override
		public Member self() {
			return member(this.host);
		}

		@Override
		public List<Member> members() {
			return HOSTS.stream().map(FixedMembership::member).toList();
		}

		private static Member member(String name) {
			return new Member(name, 1, "ro-central-a", "127.0.0.2", 1, MemberState.ALIVE, 0);
		}

	}

}
