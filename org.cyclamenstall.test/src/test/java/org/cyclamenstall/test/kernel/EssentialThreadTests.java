package org.cyclamenstall.test.kernel;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.internal.kernel.EssentialThread;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

/**
 * Tests of {@link EssentialThread}.
 */
@Timeout(value = 1, unit = TimeUnit.MINUTES)
class EssentialThreadTests {

	private final AtomicInteger runs = new AtomicInteger();

	// Guards against a thread that ends silently when memory is exhausted.
	@Test
	void aLoopThatFailsIsStartedAgainAndCounted() throws Exception {
		long restartsBefore = EssentialThread.restartCount();
		CountDownLatch recovered = new CountDownLatch(1);
		Thread thread = EssentialThread.start("failing-loop", () -> {
			switch (this.runs.incrementAndGet()) {
				case 1 -> throw new OutOfMemoryError("scripted");
				case 2 -> throw new IllegalStateException("scripted");
				default -> recovered.countDown();
			}
		}, () -> false);
		recovered.await();
		thread.join();
		assertThat(this.runs.get(), equalTo(3));
		assertThat(EssentialThread.restartCount() - restartsBefore, greaterThanOrEqualTo(2L));
	}

	@Test
	void aLoopOfAClosedServiceIsNotStartedAgain() throws Exception {
		Thread thread = EssentialThread.start("closed-loop", () -> {
			this.runs.incrementAndGet();
			throw new IllegalStateException("scripted");
		}, () -> this.runs.get() > 0);
		thread.join();
		assertThat(this.runs.get(), equalTo(1));
	}

}
