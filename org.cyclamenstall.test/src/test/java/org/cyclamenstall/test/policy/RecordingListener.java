package org.cyclamenstall.test.policy;

import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Records the callbacks of a grant listener. Thread-safe.
 */
class RecordingListener implements GrantListener {

	private final AtomicInteger decisionCount = new AtomicInteger();

	private final AtomicInteger preemptionCount = new AtomicInteger();

	private volatile @Nullable Grant grant;

	private volatile @Nullable ErrorKind refusal;

	@Override
	public void onGranted(Grant newGrant) {
		this.grant = newGrant;
		this.decisionCount.incrementAndGet();
	}

	@Override
	public void onRefused(Refusal newRefusal) {
		this.refusal = newRefusal.kind();
		this.decisionCount.incrementAndGet();
	}

	@Override
	public void onPreempt() {
		this.preemptionCount.incrementAndGet();
	}

	boolean isGranted() {
		return this.grant != null;
	}

	Grant grant() {
		Grant currentGrant = this.grant;
		if (currentGrant == null) {
			throw new AssertionError("request was not granted; refusal: " + this.refusal);
		}
		return currentGrant;
	}

	@Nullable ErrorKind refusal() {
		return this.refusal;
	}

	int decisionCount() {
		return this.decisionCount.get();
	}

	int preemptionCount() {
		return this.preemptionCount.get();
	}

}
