package org.cyclamenstall.standin.load;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Summarizes one run. Immutable.
 *
 * @param scenario the name of the scenario
 * @param policy the name of the policies, see {@link NamedPolicies}
 * @param seed the seed of the arrival plan
 * @param commit the commit of the code
 * @param classes the reports of the request classes
 * @param accounts the reports of the client accounts
 * @param sendingDelay the delay between intended and actual send time; large if this
 * machine was overloaded; includes the time of refused connections
 * @param goodputTokens the tokens of complete responses, per second
 * @param windowGoodputTokens the goodput during load peaks and faults
 * @param outsideGoodputTokens the goodput outside of load peaks and faults
 * @param wastedShare the share of the generated tokens that were not part of a complete
 * response, counted to the end of the last request and including the warm-up
 * @param attemptsPerRequest the number of attempts at engines per chat request that was
 * not refused
 * @param resumesPerRequest the number of attempts that resumed after a preemption or a
 * failure, per chat request that was not refused; included in {@code attemptsPerRequest}
 * @param machineLoad the load average of this machine over the last minute of sending; a
 * value above the number of processors means that the latencies include the overload of
 * this machine
 * @param engines the counts of the engines during the run, including the warm-up;
 * {@code null} if they are not available
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record RunReport(String scenario, String policy, long seed, String commit, List<ClassReport> classes,
		List<AccountReport> accounts, Latencies sendingDelay, double goodputTokens, double windowGoodputTokens,
		double outsideGoodputTokens, @Nullable Double wastedShare, @Nullable Double attemptsPerRequest,
		@Nullable Double resumesPerRequest, double machineLoad, @Nullable EngineCounts engines) {

	private static final int BINS_PER_SECOND = 10;

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
		return scenario.swings().stream().anyMatch((swing) -> swing.factor() > 1 && swing.isActive(second))
				|| scenario.faults().stream().anyMatch((fault) -> fault.isActive(second));
	}

	private static double goodput(Scenario scenario, List<RequestResult> results, Predicate<Double> included) {
		long[] tokens = new long[scenario.seconds() * BINS_PER_SECOND];
		for (RequestResult result : results) {
			if (result.isComplete()) {
				addTokens(tokens, result);
			}
		}
		long sum = 0;
		long bins = 0;
		for (int bin = 0; bin < tokens.length; bin++) {
			if (included.test((bin + 0.5) / BINS_PER_SECOND)) {
				sum += tokens[bin];
				bins++;
			}
		}
		return (bins > 0) ? (double) sum * BINS_PER_SECOND / bins : 0;
	}

	private static void addTokens(long[] tokens, RequestResult result) {
		for (long nanos : result.tokenNanos()) {
			long bin = Math.floorDiv((result.arrival().atNanos() + nanos) * BINS_PER_SECOND, 1_000_000_000L);
			if (bin >= 0 && bin < tokens.length) {
				tokens[(int) bin]++;
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
			.filter(RequestResult::isComplete)
			.mapToLong((request) -> request.tokenNanos().length)
			.sum();
		return (double) (engines.tokensMade() - delivered) / engines.tokensMade();
	}

	private static @Nullable Double perRequest(LoadRun.LoadResult result, ToLongFunction<EngineCounts> count) {
		EngineCounts engines = result.engines();
		long requests = result.requests()
			.stream()
			.filter((request) -> request.arrival().requestClass().isChat()
					&& request.outcome() != RequestOutcome.REFUSED)
			.count();
		return (engines != null && requests > 0) ? (double) count.applyAsLong(engines) / requests : null;
	}

}
