package org.cyclamenstall.test.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.quarantine.PromptQuarantine;
import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;

/**
 * Runs the quarantines of several daemons with a manual clock and exchanges their
 * reports.
 */
final class QuarantineFleet {

	static final String SERVICE = "engines";

	private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(100);

	final ManualClock clock = new ManualClock();

	private final List<PromptQuarantine> daemons = new ArrayList<>();

	private final UniformRandomProvider random;

	private int crashCount;

	private int promptCount;

	QuarantineFleet(int daemons, long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int index = 0; index < daemons; index++) {
			this.daemons.add(newDaemon());
		}
	}

	private PromptQuarantine newDaemon() {
		return new PromptQuarantine(this.daemons::size, this.random, EventLog.NONE);
	}

	PromptQuarantine daemon(int index) {
		return this.daemons.get(index);
	}

	int size() {
		return this.daemons.size();
	}

	void restart(int index) {
		this.daemons.set(index, newDaemon());
	}

	/**
	 * Returns a prompt with the given parts and a last part of its own.
	 */
	PromptShape prompt(String... parts) {
		List<PromptPart> all = new ArrayList<>();
		for (String part : parts) {
			all.add(new PromptPart(part, 100));
		}
		this.promptCount++;
		all.add(new PromptPart("own-" + this.promptCount, 50));
		return new PromptShape(100 * parts.length + 50, 100, 50, all);
	}

	/**
	 * Lets an upstream crash that has not crashed before.
	 * @param daemon the daemon whose request was lost
	 * @param prompt the prompt of the request
	 */
	void crash(int daemon, PromptShape prompt) {
		this.crashCount++;
		crash(daemon, prompt, "engine-" + this.crashCount);
	}

	void crash(int daemon, PromptShape prompt, String engine) {
		daemon(daemon).recordCrash(engine(engine), prompt, this.clock.nanoTime());
	}

	private static ListedHost engine(String name) {
		return new ListedHost(SERVICE, name, "127.0.0.1", 1_000, "domain", HostState.LIVE, 8, 1);
	}

	void succeed(int daemon, PromptShape prompt) {
		succeed(daemon, prompt, "sound-engine");
	}

	void succeed(int daemon, PromptShape prompt, String engine) {
		daemon(daemon).recordSuccess(engine(engine), prompt, this.clock.nanoTime(), this.clock.nanoTime());
	}

	void probe(int daemon, PromptShape prompt) {
		daemon(daemon).startProbe(SERVICE, prompt, this.clock.nanoTime());
	}

	boolean isAdmitted(int daemon, PromptShape prompt) {
		return daemon(daemon).check(SERVICE, prompt, this.clock.nanoTime()) == null;
	}

	boolean mayRetry(int daemon, PromptShape prompt) {
		return daemon(daemon).mayRetry(SERVICE, prompt, this.clock.nanoTime());
	}

	/**
	 * Advances the clock, and lets the daemons exchange their reports meanwhile.
	 * @param duration the duration
	 * @param lossShare the share of the reports that are lost
	 */
	void advance(Duration duration, double lossShare) {
		for (Duration passed = Duration.ZERO; passed.compareTo(duration) < 0; passed = passed.plus(EXCHANGE_INTERVAL)) {
			this.clock.advance(EXCHANGE_INTERVAL);
			exchangeReports(lossShare);
		}
	}

	void advance(Duration duration) {
		advance(duration, 0);
	}

	private void exchangeReports(double lossShare) {
		long nowNanos = this.clock.nanoTime();
		List<QuarantineReport> reports = this.daemons.stream().map((daemon) -> daemon.createReport(nowNanos)).toList();
		for (int sender = 0; sender < this.daemons.size(); sender++) {
			for (int receiver = 0; receiver < this.daemons.size(); receiver++) {
				if (sender != receiver && this.random.nextDouble() >= lossShare) {
					daemon(receiver).merge(reports.get(sender), nowNanos);
				}
			}
		}
	}

}
