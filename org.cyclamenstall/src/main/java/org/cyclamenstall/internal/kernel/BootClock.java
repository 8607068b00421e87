package org.cyclamenstall.internal.kernel;

import com.sun.jna.Native;
import com.sun.jna.Structure;
import org.cyclamenstall.kernel.SuspendAwareClock;

/**
 * Reads the time since the boot of the host from the operating system. The clock of the
 * Java virtual machine does not advance while the host is suspended. Thread-safe.
 */
public final class BootClock implements SuspendAwareClock {

	private static final int CLOCK_BOOTTIME = 7;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	static {
		Native.register("c");
	}

	private final ThreadLocal<TimeValue> buffer = ThreadLocal.withInitial(TimeValue::new);

	@Override
	public long nanoTime() {
		TimeValue time = this.buffer.get();
		if (clock_gettime(CLOCK_BOOTTIME, time) != 0) {
			throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) failed");
		}
		return time.seconds * NANOS_PER_SECOND + time.nanos;
	}

	private static native int clock_gettime(int clock, TimeValue time);

	/**
	 * Maps {@code struct timespec} of the C library.
	 */
	@Structure.FieldOrder({ "seconds", "nanos" })
	public static final class TimeValue extends Structure {

		/** Seconds since the boot of the host. */
		public long seconds;

		/** Nanoseconds within the second, from 0 to 999,999,999. */
		public long nanos;

	}

}
