package org.cyclamenstall.internal.peers;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.wire.RefusalReason;

/**
 * Counts what passes between this daemon and its peers. Thread-safe.
 */
final class PeerMetrics {

	private final Counter exchanges;

	private final Counter refusals;

	private final Counter bytes;

	private final Gauge members;

	PeerMetrics(PrometheusRegistry registry) {
		this.exchanges = Counter.builder()
			.name("cyclamenstall_peer_exchanges_total")
			.help("Exchanges begun by this daemon, by result")
			.labelNames("result")
			.register(registry);
		this.refusals = Counter.builder()
			.name("cyclamenstall_peer_refusals_total")
			.help("Messages of peers that this daemon refused, by reason")
			.labelNames("reason")
			.register(registry);
		this.bytes = Counter.builder()
			.name("cyclamenstall_peer_bytes_total")
			.help("Bytes of exchanges begun by this daemon, by direction")
			.labelNames("direction")
			.register(registry);
		this.members = Gauge.builder()
			.name("cyclamenstall_peer_members")
			.help("Other daemons that are known, by state")
			.labelNames("state")
			.register(registry);
	}

	void exchanged(ExchangeResult result) {
		this.exchanges.labelValues(label(result)).inc();
	}

	void refused(RefusalReason reason) {
		this.refusals.labelValues(label(reason)).inc();
	}

	void sent(long count) {
		this.bytes.labelValues("sent").inc(count);
	}

	void received(long count) {
		this.bytes.labelValues("received").inc(count);
	}

	void members(MemberState state, long count) {
		this.members.labelValues(label(state)).set(count);
	}

	private static String label(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
