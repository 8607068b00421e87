package org.cyclamenstall.standin.load;

import java.util.List;
import java.util.Map;

import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import org.cyclamenstall.settings.PolicySettings;
import org.jspecify.annotations.Nullable;

/**
 * Describes a run of the load tool as written in YAML. Immutable.
 *
 * @param name the name
 * @param deployment the file of the deployment, beside this one
 * @param seconds the length of the measured part, in seconds
 * @param warmUpSeconds the steady load before it, which is not measured, in seconds
 * @param drainSeconds the longest wait for answers after it, in seconds
 * @param demand by how much the usual demand of all classes is multiplied
 * @param balancerNoticeMillis how long the balancer takes to notice a lost daemon, in
 * milliseconds
 * @param accounts accounts that replace those of the same name in the deployment
 * @param classes classes that replace those of the same name in the deployment
 * @param swings the changes of demand
 * @param faults the faults during the run
 * @param policies further policies by name, beside the built-in ones
 */
public record Scenario(@NotNull String name, @NotNull String deployment, @NotNull @Min(1) @Max(600) Integer seconds,
		@NotNull @Min(0) @Max(60) Integer warmUpSeconds, @NotNull @Min(1) @Max(600) Integer drainSeconds,
		@NotNull @DecimalMin("0.001") Double demand, @NotNull @Min(0) @Max(60_000) Integer balancerNoticeMillis,
		@NotNull List<Deployment.@Valid Account> accounts, @NotNull List<Deployment.@Valid RequestClass> classes,
		@NotNull List<@Valid Swing> swings, @NotNull List<@Valid ScheduledFault> faults,
		@NotNull Map<String, @Valid PolicySettings> policies) {

	private static final int DEFAULT_WARM_UP_SECONDS = 8;

	private static final int DEFAULT_DRAIN_SECONDS = 60;

	private static final int DEFAULT_NOTICE_MILLIS = 1_000;

	/**
	 * Fills in the defaults.
	 */
	public Scenario {
		warmUpSeconds = (warmUpSeconds != null) ? warmUpSeconds : Integer.valueOf(DEFAULT_WARM_UP_SECONDS);
		drainSeconds = (drainSeconds != null) ? drainSeconds : Integer.valueOf(DEFAULT_DRAIN_SECONDS);
		demand = (demand != null) ? demand : Double.valueOf(1);
		balancerNoticeMillis = (balancerNoticeMillis != null) ? balancerNoticeMillis
				: Integer.valueOf(DEFAULT_NOTICE_MILLIS);
		accounts = (accounts != null) ? List.copyOf(accounts) : List.of();
		classes = (classes != null) ? List.copyOf(classes) : List.of();
		swings = (swings != null) ? List.copyOf(swings) : List.of();
		faults = (faults != null) ? List.copyOf(faults) : List.of();
		policies = (policies != null) ? Map.copyOf(policies) : Map.of();
	}

	/**
	 * Returns this scenario without its faults.
	 * @return the scenario
	 */
	Scenario withoutFaults() {
		return new Scenario(this.name, this.deployment, this.seconds, this.warmUpSeconds, this.drainSeconds,
				this.demand, this.balancerNoticeMillis, this.accounts, this.classes, this.swings, List.of(),
				this.policies);
	}

	/**
	 * Puts the accounts, the classes and the demand of this scenario into a deployment.
	 * @param usual the deployment
	 * @param leftOut the names of classes to leave out
	 * @return the deployment of this scenario
	 */
	public Deployment apply(Deployment usual, List<String> leftOut) {
		List<Deployment.Account> allAccounts = usual.accounts()
			.stream()
			.map((account) -> this.accounts.stream()
				.filter((other) -> other.name().equals(account.name()))
				.findFirst()
				.orElse(account))
			.toList();
		List<Deployment.RequestClass> allClasses = usual.classes()
			.stream()
			.filter((requestClass) -> !leftOut.contains(requestClass.name()))
			.map((requestClass) -> this.classes.stream()
				.filter((other) -> other.name().equals(requestClass.name()))
				.findFirst()
				.orElse(requestClass))
			.map((requestClass) -> requestClass.withRate(requestClass.requestsPerSecond() * this.demand))
			.toList();
		return usual.with(allAccounts, allClasses);
	}

	/**
	 * Describes a change of demand that comes again and again. Immutable.
	 *
	 * @param firstSecond when it first begins, in seconds of the measured part
	 * @param lastsSeconds how long it lasts, in seconds
	 * @param everySeconds how often it begins, in seconds
	 * @param factor by how much demand is multiplied
	 * @param account the only account concerned; all if not written
	 * @param classes the only classes concerned; all if not written
	 */
	public record Swing(@NotNull @DecimalMin("0") Double firstSecond, @NotNull @DecimalMin("0.1") Double lastsSeconds,
			@NotNull @DecimalMin("0.1") Double everySeconds, @NotNull @DecimalMin("0") Double factor,
			@Nullable String account, @Nullable List<String> classes) {

		boolean covers(double second) {
			double since = second - this.firstSecond;
			return since >= 0 && since % this.everySeconds < this.lastsSeconds;
		}

		boolean concerns(String otherAccount, String otherClass) {
			return (this.account == null || this.account.equals(otherAccount))
					&& (this.classes == null || this.classes.contains(otherClass));
		}

	}

	/**
	 * Describes a fault during a run. Immutable.
	 *
	 * @param kind what happens
	 * @param atSecond when it begins, in seconds of the measured part
	 * @param untilSecond when it ends, in seconds of the measured part
	 * @param share the share of the engines concerned
	 * @param slowdown by how many times engines are slower
	 * @param reportLagMillis the age of the load in their reports, in milliseconds
	 * @param daemon the index of the daemon concerned
	 */
	public record ScheduledFault(@NotNull FaultKind kind, @NotNull @DecimalMin("0") Double atSecond,
			@Nullable Double untilSecond, @Nullable Double share, @Nullable Double slowdown,
			@Nullable Integer reportLagMillis, @Nullable Integer daemon) {

		boolean covers(double second) {
			return second >= this.atSecond && (this.untilSecond == null || second < this.untilSecond);
		}

	}

}
