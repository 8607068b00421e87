package org.cyclamenstall.internal.metering;

import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.control.ControlApi;
import org.cyclamenstall.control.ControlResult;
import org.cyclamenstall.control.UsageReport;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.leadership.Leadership;
import org.cyclamenstall.store.LeasedStore;
import org.cyclamenstall.store.WatchedStore;

/**
 * Settles and reports the windows that have ended, while this daemon leads. A window is
 * settled some time after its end, when the counts of all daemons have arrived; only what
 * is settled is reported, and it is reported until the platform has accepted it. A new
 * leader first waits until the daemons have sent it their counts, and reports the last
 * windows once more, because it does not know which were accepted. After a restore of the
 * store, records of settled windows may be missing, and others may be written late; a
 * window that a leader may have settled before is then not reported again, so that no
 * other counts are. Not thread-safe, except that a restore can be reported on any thread.
 */
public final class WindowReporter {

	private static final Logger logger = LogManager.getLogger(WindowReporter.class);

	/** Time after the end of a window until it is settled. */
	private static final Duration SETTLE_DELAY = Duration.ofMillis(3_000);

	/** Time in which all daemons send their counts to a new leader. */
	private static final Duration COLLECTION_TIME = Duration.ofMillis(1_500);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	/** Maximum difference of the time of two daemons, with a reserve. */
	private static final Duration CLOCK_MARGIN = Duration.ofSeconds(1);

	private final SettledWindows settledWindows;

	private final WindowSchedule schedule;

	private final CollectedCounts counts;

	private final FleetClock clock;

	private final ControlApi controlApi;

	private final Leadership leadership;

	private final EventLog events;

	private final Set<Long> acceptedWindows = new HashSet<>();

	/** Token of the leadership in which the last pass ran, or zero. */
	private long token;

	private long leadingSinceMillis;

	/**
	 * Time before which a leader may have settled windows whose records are missing.
	 */
	private volatile long mayBeSettledUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates a reporter.
	 * @param schedule the windows
	 * @param counts the counts of all daemons
	 * @param clock the time on which the daemons agree
	 * @param reader reads the store
	 * @param writer writes the store
	 * @param controlApi accepts the reports
	 * @param leadership states whether this daemon leads
	 * @param events the event log
	 */
	public WindowReporter(WindowSchedule schedule, CollectedCounts counts, FleetClock clock, WatchedStore reader,
			LeasedStore writer, ControlApi controlApi, Leadership leadership, EventLog events) {
		this.schedule = schedule;
		this.counts = counts;
		this.clock = clock;
		this.settledWindows = new SettledWindows(reader, writer, CALL_TIMEOUT);
		this.controlApi = controlApi;
		this.leadership = leadership;
		this.events = events;
	}

	/**
	 * Records that the store was restored from an older copy.
	 * @param leaseDuration the time for which a leader may act that has not learned of it
	 */
	public void onStoreRestored(Duration leaseDuration) {
		this.mayBeSettledUntilMillis = this.clock.millis() + leaseDuration.plus(CLOCK_MARGIN).toMillis();
	}

	/**
	 * Settles and reports what is due. Blocks during calls to the store and the platform.
	 */
	public void run() {
		long nowMillis = this.clock.millis();
		long currentWindow = this.schedule.windowAt(nowMillis);
		long oldestWindow = currentWindow - this.schedule.keptWindows() + 1;
		this.counts.retain(oldestWindow, currentWindow + 1);
		OptionalLong currentToken = this.leadership.tokenFor(CALL_TIMEOUT);
		if (currentToken.isEmpty()) {
			return;
		}
		if (currentToken.getAsLong() != this.token) {
			this.token = currentToken.getAsLong();
			this.leadingSinceMillis = nowMillis;
			this.acceptedWindows.clear();
			this.settledWindows.forget();
		}
		this.acceptedWindows.removeIf((window) -> window < oldestWindow);
		if (nowMillis - this.leadingSinceMillis >= COLLECTION_TIME.toMillis()) {
			reportWindows(oldestWindow, nowMillis);
		}
	}

	private void reportWindows(long oldestWindow, long nowMillis) {
		try {
			this.settledWindows.load();
			for (long window = oldestWindow; isDue(window, nowMillis); window++) {
				if (!this.acceptedWindows.contains(window) && !mayHaveBeenSettledBeforeRestore(window)) {
					reportWindow(window);
				}
			}
		}
		catch (RouterException ex) {
			logger.info("The windows are settled later: {}", ex.getMessage());
		}
	}

	private boolean isDue(long window, long nowMillis) {
		return this.schedule.endMillis(window) + SETTLE_DELAY.toMillis() <= nowMillis;
	}

	private void reportWindow(long window) {
		SettledWindow settled = this.settledWindows.find(window);
		if (settled == null) {
			if (!this.counts.windows().contains(window) || this.settledWindows.isReplaced(window)) {
				return;
			}
			settle(window);
			settled = this.settledWindows.find(window);
		}
		if (settled != null) {
			send(settled);
		}
	}

	// Its record, if there is one, may come from a write that was executed late.
	private boolean mayHaveBeenSettledBeforeRestore(long window) {
		return this.schedule.endMillis(window) + SETTLE_DELAY.toMillis() <= this.mayBeSettledUntilMillis;
	}

	private void settle(long window) {
		SettledWindow totals = new SettledWindow(window, this.counts.totals(window));
		if (this.leadership.tokenFor(CALL_TIMEOUT).isPresent() && this.settledWindows.settle(totals)) {
			long requests = totals.requestsByAccount().values().stream().mapToLong(Long::longValue).sum();
			this.events.record(
					new Event.WindowSettled(window, totals.requestsByAccount().size(), requests, ageMillis(window)));
		}
	}

	private void send(SettledWindow settled) {
		OptionalLong currentToken = this.leadership.tokenFor(CALL_TIMEOUT);
		if (currentToken.isEmpty()) {
			return;
		}
		long usedToken = currentToken.getAsLong();
		ControlResult result = this.controlApi
			.reportUsage(new UsageReport(settled.window(), settled.requestsByAccount()), usedToken, CALL_TIMEOUT);
		this.events
			.record(new Event.UsageReported(settled.window(), usedToken, result.name(), ageMillis(settled.window())));
		switch (result) {
			case ACCEPTED, REJECTED -> this.acceptedWindows.add(settled.window());
			case CONFLICT -> this.leadership.recordRefusedToken(usedToken);
			default -> {
				// It is sent again in the next pass.
			}
		}
	}

	private long ageMillis(long window) {
		return this.clock.millis() - this.schedule.endMillis(window);
	}

}
