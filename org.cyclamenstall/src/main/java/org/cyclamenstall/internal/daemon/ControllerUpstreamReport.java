package org.cyclamenstall.internal.daemon;

import java.util.List;
import java.util.Locale;

import org.cyclamenstall.internal.operators.UpstreamReport;
import org.cyclamenstall.internal.operators.UpstreamRow;
import org.cyclamenstall.internal.policy.PolicyTrafficController;
import org.cyclamenstall.internal.policy.UpstreamStatus;

/**
 * Reports the upstreams of the traffic controller to operators. Thread-safe.
 */
final class ControllerUpstreamReport implements UpstreamReport {

	private final PolicyTrafficController controller;

	ControllerUpstreamReport(PolicyTrafficController controller) {
		this.controller = controller;
	}

	@Override
	public List<UpstreamRow> rows() {
		return this.controller.upstreamStatuses().stream().map(ControllerUpstreamReport::toRow).toList();
	}

	private static UpstreamRow toRow(UpstreamStatus status) {
		return new UpstreamRow(status.host().service(), status.host().host(),
				status.host().address() + ":" + status.host().port(), status.host().failureDomain(),
				status.condition().name().toLowerCase(Locale.ROOT), status.inFlight(), status.window(),
				status.firstTokenSeconds());
	}

}
