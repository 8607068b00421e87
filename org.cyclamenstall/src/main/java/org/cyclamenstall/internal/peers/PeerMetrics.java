package org.cyclamenstall.internal.peers;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.wire.RefusalReason;

/**
 * Holds the metrics of the exchanges with peers. Thread-safe.
 */
final class PeerMetrics {

	private final Counter exchanges;

	private final Counter refusals;

	private final Counter bytes;

	private final Gauge members;

	PeerMetrics(PrometheusRegistry registry) {
		this.exchanges = Counter.builder()
			.name("cyclamenstall_peer_exchanges_total")
			.help("Exchanges started by this daemon, by result")
			.labelNames("result")
			.register(registry);
		this.refusals = Counter.builder()
			.name("cyclamenstall_peer_refusals_total")
			.help("Peer requests rejected by this daemon, by reason")
			.labelNames("reason")
			.register(registry);
		this.bytes = Counter.builder()
			.name("cyclamenstall_peer_bytes_total")
			.help("Bytes of exchanges started by this daemon, by direction")
			.labelNames("direction")
			.register(registry);
		this.members = Gauge.builder()
			.name("cyclamenstall_peer_members")
			.help("Known other daemons, by state")
			.labelNames("state")
			.register(registry);
	}

	void recordExchange(ExchangeResult result) {
		this.exchanges.labelValues(label(result)).inc();
	}

	void recordRefusal(RefusalReason reason) {
		this.refusals.labelValues(label(reason)).inc();
	}

	void recordSentBytes(long count) {
		this.bytes.labelValues("sent").inc(count);
	}

	void recordReceivedBytes(long count) {
		this.bytes.labelValues("received").inc(count);
	}

	void setMembers(MemberState state, long count) {
		this.members.labelValues(label(state)).set(count);
	}

	private static String label(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
