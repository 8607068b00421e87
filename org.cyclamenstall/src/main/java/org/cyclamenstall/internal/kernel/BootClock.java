package org.cyclamenstall.internal.kernel;

import com.sun.jna.Native;
import com.sun.jna.Structure;
import org.cyclamenstall.kernel.SuspendAwareClock;

/**
 * Reads the time since the boot of the host from the operating system, because the clock
 * of the Java virtual machine stands still while the host is suspended. Thread-safe.
 */
public final class BootClock implements SuspendAwareClock {

	private static final int CLOCK_BOOTTIME = 7;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	static {
		Native.register("c");
	}

	private final ThreadLocal<TimeValue> value = ThreadLocal.withInitial(TimeValue::new);

	@Override
	public long nanoTime() {
		TimeValue time = this.value.get();
		if (clock_gettime(CLOCK_BOOTTIME, time) != 0) {
			throw new IllegalStateException("The operating system has no clock that counts suspension");
		}
		return time.seconds * NANOS_PER_SECOND + time.nanos;
	}

	private static native int clock_gettime(int clock, TimeValue time);

	/**
	 * Mirrors the time value of the C library.
	 */
	@Structure.FieldOrder({ "seconds", "nanos" })
	public static final class TimeValue extends Structure {

		/** Whole seconds. */
		public long seconds;

		/** Nanoseconds within the second. */
		public long nanos;

	}

}
