package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.function.IntFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.standin.site.UpstreamInstance;

/**
 * Holds a request to daemon 0 at a step with a fault rule that is installed before the
 * request is sent. Used by one thread.
 */
final class StepHolder {

	/** Text in the path or prompt of requests that occupy the slots of the upstreams. */
	static final String OCCUPIER = "occupier";

	private static final String QUEUE_LENGTH_METRIC = "cyclamenstall_queue_length";

	private static final String OPEN_REQUESTS_METRIC = "cyclamenstall_open_requests";

	private static final int MAXIMUM_OCCUPIERS = 60;

	private static final int QUEUED_OCCUPIERS = 3;

	private static final int MAXIMUM_HEADER_OFFSET_BYTES = 40;

	/** Offset behind the headers and the first events of a streamed response. */
	private static final int MINIMUM_STREAM_OFFSET_BYTES = 600;

	private static final int STREAM_OFFSET_RANGE_BYTES = 2_000;

	private final TestSite site;

	private final UniformRandomProvider random;

	private final List<FaultProxy> upstreamProxies;

	/** Text that only the request to hold contains. */
	private final String marker;

	StepHolder(TestSite site, UniformRandomProvider random,
			List<? extends UpstreamInstance<? extends Standin>> upstreams, String marker) {
		this.site = site;
		this.random = random;
		this.upstreamProxies = upstreams.stream().<FaultProxy>map(UpstreamInstance::proxy).toList();
		this.marker = marker;
	}

	HeldStep holdAt(Step step, IntFunction<CallerCall> startOccupier) {
		return switch (step) {
			case RECEIVED ->
				hold(List.of(this.site.daemon(0).callerProxy()), FaultRule.on(Direction.REQUEST, FaultAction.HOLD)
					.afterBytes(1 + this.random.nextInt(MAXIMUM_HEADER_OFFSET_BYTES)));
			case QUEUED -> holdInQueue(startOccupier);
			case CLAIM_SENT -> holdStoreCall(Direction.REQUEST, "PUT \\S*/claims/\\S*cas=0");
			case CLAIM_ACKNOWLEDGED -> holdStoreCall(Direction.RESPONSE, "PUT \\S*/claims/\\S*cas=0");
			case SENDING -> holdUpstream(Direction.REQUEST, 0);
			case SENT -> holdUpstream(Direction.RESPONSE, 0);
			case FIRST_BYTE -> holdUpstream(Direction.RESPONSE, 1 + this.random.nextInt(MAXIMUM_HEADER_OFFSET_BYTES));
			case MID_STREAM -> holdUpstream(Direction.RESPONSE,
					MINIMUM_STREAM_OFFSET_BYTES + this.random.nextInt(STREAM_OFFSET_RANGE_BYTES));
			case END -> hold(this.upstreamProxies,
					FaultRule.on(Direction.RESPONSE, FaultAction.HOLD)
						.requestMatching(this.marker)
						.bytesContaining("DONE"));
			default -> throw new IllegalArgumentException("not a step of a booking or chat: " + step);
		};
	}

	HeldStep holdClaimOutcome() {
		return holdStoreCall(Direction.REQUEST, "PUT \\S*/claims/\\S*cas=[1-9]");
	}

	private HeldStep holdStoreCall(Direction direction, String requestPattern) {
		return hold(List.of(this.site.daemon(0).storeProxy()),
				FaultRule.on(direction, FaultAction.HOLD).requestMatching(requestPattern));
	}

	private HeldStep holdUpstream(Direction direction, int afterBytes) {
		return hold(this.upstreamProxies,
				FaultRule.on(direction, FaultAction.HOLD).requestMatching(this.marker).afterBytes(afterBytes));
	}

	private HeldStep holdInQueue(IntFunction<CallerCall> startOccupier) {
		HeldStep heldOccupiers = hold(this.upstreamProxies,
				FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching(OCCUPIER));
		for (int occupier = 0; occupier < MAXIMUM_OCCUPIERS
				&& metric(QUEUE_LENGTH_METRIC) < QUEUED_OCCUPIERS; occupier++) {
			double openBefore = metric(OPEN_REQUESTS_METRIC);
			startOccupier.apply(occupier);
			ConditionWaiter.await(() -> metric(OPEN_REQUESTS_METRIC) > openBefore,
					() -> "daemon 0 did not receive the request that occupies a slot");
		}
		// Without a configured delay, the rule only counts the chunks that match.
		FaultRule requestSeen = this.site.daemon(0)
			.callerProxy()
			.addRule(FaultRule.on(Direction.REQUEST, FaultAction.DELAY).bytesContaining(this.marker).build());
		return new HeldStep(heldOccupiers.path(), heldOccupiers.rules(),
				() -> requestSeen.hits() > 0 && metric(QUEUE_LENGTH_METRIC) > 0);
	}

	private double metric(String metricName) {
		return this.site.daemon(0).operatorClient().metric(metricName);
	}

	private static HeldStep hold(List<FaultProxy> path, FaultRule.Builder builder) {
		FaultRule rule = builder.build();
		path.forEach((proxy) -> proxy.addRule(rule));
		return HeldStep.of(path, rule);
	}

}
