package org.cyclamenstall.internal.watch;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Durations of the polls of a watched store. Longer polls cost fewer calls; they are
 * limited by how soon the loss of the connection must be detected, and by the age at
 * which the last confirmation expires. Immutable.
 *
 * @param longPollWait the time after which the store responds to a long poll although
 * nothing has changed
 * @param changeDelay the base delay after a poll that returned changes, during which
 * further changes accumulate
 */
public record WatchTiming(Duration longPollWait, Duration changeDelay) {

	/** Timeout of a long poll in addition to its wait. */
	static final Duration LONG_POLL_TIMEOUT_MARGIN = Duration.ofMillis(700);

	/**
	 * Time by which a store may deliver a change late to a poll that waits.
	 */
	static final Duration MAXIMUM_NOTIFICATION_DELAY = Duration.ofSeconds(1);

	/** Time for reconnecting after a poll timed out. */
	private static final Duration RECONNECT_TIME = Duration.ofMillis(300);

	private static final Duration MINIMUM_WAIT = Duration.ofMillis(500);

	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(20);

	/** Share of the bound for changes that is spent waiting for further changes. */
	private static final double CHANGE_DELAY_SHARE = 0.075;

	/**
	 * Derives the durations from the bounds of a deployment.
	 * @param maximumDisconnection the maximum time until a silent loss of the connection
	 * must be detected
	 * @param maximumChangeDelay the maximum time until a change must be in force
	 * @param maximumStaleness the age at which a confirmation expires, or {@code null} if
	 * it does not expire
	 * @return the durations
	 */
	public static WatchTiming of(Duration maximumDisconnection, Duration maximumChangeDelay,
			@Nullable Duration maximumStaleness) {
		Duration wait = maximumDisconnection.minus(LONG_POLL_TIMEOUT_MARGIN).minus(RECONNECT_TIME);
		if (maximumStaleness != null) {
			Duration confirmedWait = maximumStaleness.minus(MAXIMUM_NOTIFICATION_DELAY).minus(LONG_POLL_TIMEOUT_MARGIN);
			wait = (confirmedWait.compareTo(wait) < 0) ? confirmedWait : wait;
		}
		return new WatchTiming(clamp(wait),
				Duration.ofMillis(Math.max(1, (long) (maximumChangeDelay.toMillis() * CHANGE_DELAY_SHARE))));
	}

	private static Duration clamp(Duration wait) {
		if (wait.compareTo(MINIMUM_WAIT) < 0) {
			return MINIMUM_WAIT;
		}
		return (wait.compareTo(MAXIMUM_WAIT) > 0) ? MAXIMUM_WAIT : wait;
	}

}
