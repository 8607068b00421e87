package org.cyclamenstall.internal.daemon;

import java.util.List;
import java.util.Locale;

import org.cyclamenstall.internal.operators.UpstreamReport;
import org.cyclamenstall.internal.operators.UpstreamRow;
import org.cyclamenstall.internal.policy.PolicyTrafficController;
import org.cyclamenstall.internal.policy.UpstreamStatus;

/**
 * Shows the traffic controller's upstreams to operators. Thread-safe.
 */
final class UpstreamRows implements UpstreamReport {

	private final PolicyTrafficController controller;

	UpstreamRows(PolicyTrafficController controller) {
		this.controller = controller;
	}

	@Override
	public List<UpstreamRow> rows() {
		return this.controller.upstreamStatuses().stream().map(UpstreamRows::row).toList();
	}

	private static UpstreamRow row(UpstreamStatus use) {
		return new UpstreamRow(use.host().service(), use.host().host(), use.host().address() + ":" + use.host().port(),
				use.host().failureDomain(), use.condition().name().toLowerCase(Locale.ROOT), use.inFlight(),
				use.window(), use.firstTokenSeconds());
	}

}
