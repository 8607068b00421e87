package org.cyclamenstall.test.policy;

import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Keeps what a listener was told. Thread-safe.
 */
class RecordedListener implements GrantListener {

	private final AtomicInteger answers = new AtomicInteger();

	private final AtomicInteger preemptions = new AtomicInteger();

	private volatile @Nullable Grant grant;

	private volatile @Nullable ErrorKind refusal;

	@Override
	public void onGranted(Grant given) {
		this.grant = given;
		this.answers.incrementAndGet();
	}

	@Override
	public void onRefused(Refusal refused) {
		this.refusal = refused.kind();
		this.answers.incrementAndGet();
	}

	@Override
	public void onPreempt() {
		this.preemptions.incrementAndGet();
	}

	boolean isGranted() {
		return this.grant != null;
	}

	Grant grant() {
		Grant given = this.grant;
		if (given == null) {
			throw new AssertionError("No grant was given; refusal: " + this.refusal);
		}
		return given;
	}

	@Nullable ErrorKind refusal() {
		return this.refusal;
	}

	int answers() {
		return this.answers.get();
	}

	int preemptions() {
		return this.preemptions.get();
	}

}
