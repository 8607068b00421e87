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
import org.cyclamenstall.standin.site.Upstream;

/**
 * Holds a request to daemon 0 at a step, by a rule that is set before it is sent. Used by
 * one thread.
 */
final class StepHolder {

	/** Names the requests that fill the slots of the upstreams. */
	static final String OCCUPIER = "occupier";

	private static final String QUEUE_LENGTH = "cyclamenstall_queue_length";

	private static final String OPEN_REQUESTS = "cyclamenstall_open_requests";

	private static final int MOST_OCCUPIERS = 60;

	private static final int WAITING_OCCUPIERS = 3;

	private static final int HEAD_BYTES = 40;

	private static final int FIRST_EVENTS_BYTES = 600;

	private static final int MIDDLE_BYTES = 2_000;

	private final TestSite site;

	private final UniformRandomProvider random;

	private final List<FaultProxy> upstreams;

	private final String name;

	StepHolder(TestSite site, UniformRandomProvider random, List<? extends Upstream<? extends Standin>> upstreams,
			String name) {
		this.site = site;
		this.random = random;
		this.upstreams = upstreams.stream().<FaultProxy>map(Upstream::proxy).toList();
		this.name = name;
	}

	HeldStep prepare(Step step, IntFunction<CallerCall> occupy) {
		return switch (step) {
			case RECEIVED -> hold(List.of(this.site.daemon(0).callerProxy()),
					FaultRule.on(Direction.REQUEST, FaultAction.HOLD).afterBytes(1 + this.random.nextInt(HEAD_BYTES)));
			case QUEUED -> queue(occupy);
			case CLAIM_SENT -> holdClaim(Direction.REQUEST, "PUT \\S*/claims/\\S*cas=0");
			case CLAIM_ACKNOWLEDGED -> holdClaim(Direction.ANSWER, "PUT \\S*/claims/\\S*cas=0");
			case SENDING -> holdUpstream(Direction.REQUEST, 0);
			case SENT -> holdUpstream(Direction.ANSWER, 0);
			case FIRST_BYTE -> holdUpstream(Direction.ANSWER, 1 + this.random.nextInt(HEAD_BYTES));
			case MID_STREAM -> holdUpstream(Direction.ANSWER, FIRST_EVENTS_BYTES + this.random.nextInt(MIDDLE_BYTES));
			case END -> hold(this.upstreams,
					FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching(this.name).containing("DONE"));
			default -> throw new IllegalArgumentException("Not a step of a request: " + step);
		};
	}

	HeldStep holdEndOfClaim() {
		return holdClaim(Direction.REQUEST, "PUT \\S*/claims/\\S*cas=[1-9]");
	}

	private HeldStep holdClaim(Direction direction, String request) {
		return hold(List.of(this.site.daemon(0).storeProxy()),
				FaultRule.on(direction, FaultAction.HOLD).matching(request));
	}

	private HeldStep holdUpstream(Direction direction, int afterBytes) {
		return hold(this.upstreams,
				FaultRule.on(direction, FaultAction.HOLD).matching(this.name).afterBytes(afterBytes));
	}

	private HeldStep queue(IntFunction<CallerCall> occupy) {
		HeldStep held = hold(this.upstreams, FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching(OCCUPIER));
		for (int occupier = 0; occupier < MOST_OCCUPIERS && metric(QUEUE_LENGTH) < WAITING_OCCUPIERS; occupier++) {
			double before = metric(OPEN_REQUESTS);
			occupy.apply(occupier);
			ConditionWaiter.await(() -> metric(OPEN_REQUESTS) > before, () -> "an occupier did not come");
		}
		FaultRule passing = this.site.daemon(0)
			.callerProxy()
			.add(FaultRule.on(Direction.REQUEST, FaultAction.DELAY).containing(this.name).build());
		return new HeldStep(held.path(), held.rules(), () -> passing.hits() > 0 && metric(QUEUE_LENGTH) > 0);
	}

	private double metric(String metric) {
		return this.site.daemon(0).operators().metric(metric);
	}

	private static HeldStep hold(List<FaultProxy> path, FaultRule.Builder description) {
		FaultRule rule = description.build();
		path.forEach((proxy) -> proxy.add(rule));
		return HeldStep.of(path, rule);
	}

}
