package org.cyclamenstall.standin.load;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Sums up one run. Immutable.
 *
 * @param scenario the name of the scenario
 * @param policy the name of the policies
 * @param seed the seed
 * @param commit the commit of the code
 * @param classes the classes
 * @param accounts the accounts
 * @param sendingDelay how late requests were sent; large if this machine was overloaded
 * @param goodputTokens the tokens of whole answers, per second
 * @param windowGoodputTokens the same while a crest or a fault lasted
 * @param outsideGoodputTokens the same in the other time
 * @param wastedShare the share of the tokens made that were in no whole answer; counted
 * to the end of the last request, warm-up included
 * @param attemptsPerRequest the attempts at engines over the chat requests that were not
 * refused
 * @param resumesPerRequest the attempts that went on after a preemption or a failure,
 * over the same requests; they are among the attempts
 * @param machineLoad the load average of this machine in the last minute of sending;
 * above its number of processors the latencies are also the machine's
 * @param engines the work of the engines
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record RunReport(String scenario, String policy, long seed, String commit, List<ClassReport> classes,
		List<AccountReport> accounts, Latencies sendingDelay, double goodputTokens, double windowGoodputTokens,
		double outsideGoodputTokens, @Nullable Double wastedShare, @Nullable Double attemptsPerRequest,
		@Nullable Double resumesPerRequest, double machineLoad, @Nullable EngineCounts engines) {

	private static final int STEPS_PER_SECOND = 10;

	static RunReport of(Scenario scenario, Deployment deployment, String policy, long seed, String commit,
			LoadRun.LoadResult result) {
		List<RequestResult> measured = result.requests()
			.stream()
			.filter((request) -> request.arrival().isMeasured())
			.toList();
		Predicate<Arrival> inWindow = (arrival) -> isInWindow(scenario, arrival.atSecond());
		List<ClassReport> classes = deployment.classes()
			.stream()
			.map((requestClass) -> ClassReport.of(requestClass.name(),
					measured.stream()
						.filter((request) -> request.arrival().requestClass().name().equals(requestClass.name()))
						.toList(),
					inWindow))
			.toList();
		List<AccountReport> accounts = deployment.accounts()
			.stream()
			.map((account) -> AccountReport.of(account.name(), account.limits(),
					measured.stream().filter((request) -> request.arrival().account().equals(account.name())).toList()))
			.toList();
		return new RunReport(scenario.name(), policy, seed, commit, classes, accounts, sendingDelay(measured),
				goodput(scenario, result.requests(), (second) -> true),
				goodput(scenario, result.requests(), (second) -> isInWindow(scenario, second)),
				goodput(scenario, result.requests(), (second) -> !isInWindow(scenario, second)), wastedShare(result),
				perRequest(result, EngineCounts::received), perRequest(result, EngineCounts::resumed),
				result.machineLoad(), result.engines());
	}

	private static Latencies sendingDelay(List<RequestResult> results) {
		Histogram delays = Latencies.newHistogram();
		results.forEach((result) -> Latencies.record(delays, result.sentNanos()));
		return Latencies.of(delays);
	}

	private static boolean isInWindow(Scenario scenario, double second) {
		return scenario.swings().stream().anyMatch((swing) -> swing.factor() > 1 && swing.covers(second))
				|| scenario.faults().stream().anyMatch((fault) -> fault.covers(second));
	}

	private static double goodput(Scenario scenario, List<RequestResult> results, Predicate<Double> counts) {
		long[] tokens = new long[scenario.seconds() * STEPS_PER_SECOND];
		for (RequestResult result : results) {
			if (result.isWhole()) {
				addTokens(tokens, result);
			}
		}
		long sum = 0;
		long steps = 0;
		for (int step = 0; step < tokens.length; step++) {
			if (counts.test((step + 0.5) / STEPS_PER_SECOND)) {
				sum += tokens[step];
				steps++;
			}
		}
		return (steps > 0) ? (double) sum * STEPS_PER_SECOND / steps : 0;
	}

	private static void addTokens(long[] tokens, RequestResult result) {
		for (long nanos : result.tokenNanos()) {
			long step = Math.floorDiv((result.arrival().atNanos() + nanos) * STEPS_PER_SECOND, 1_000_000_000L);
			if (step >= 0 && step < tokens.length) {
				tokens[(int) step]++;
			}
		}
	}

	private static @Nullable Double wastedShare(LoadRun.LoadResult result) {
		EngineCounts engines = result.engines();
		if (engines == null || engines.tokensMade() == 0) {
			return null;
		}
		long delivered = result.requests()
			.stream()
			.filter(RequestResult::isWhole)
			.mapToLong((request) -> request.tokenNanos().length)
			.sum();
		return (double) (engines.tokensMade() - delivered) / engines.tokensMade();
	}

	private static @Nullable Double perRequest(LoadRun.LoadResult result, ToLongFunction<EngineCounts> count) {
		EngineCounts engines = result.engines();
		long requests = result.requests()
			.stream()
			.filter((request) -> request.arrival().requestClass().isChat() && request.end() != RequestEnd.REFUSED)
			.count();
		return (engines != null && requests > 0) ? (double) count.applyAsLong(engines) / requests : null;
	}

}
