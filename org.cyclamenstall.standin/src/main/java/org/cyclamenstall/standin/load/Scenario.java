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
 * Describes a run of the load tool. Read from YAML; immutable.
 *
 * @param name the name
 * @param deployment the file name of the deployment, in the directory of the scenario
 * @param seconds the duration of the measured part, in seconds
 * @param warmUpSeconds the duration of the unmeasured load before it, in seconds
 * @param drainSeconds the maximum wait for responses after it, in seconds
 * @param demand the factor applied to the base demand of all classes
 * @param balancerNoticeMillis the time until the balancer skips a killed daemon, in
 * milliseconds
 * @param accounts accounts that replace those of the same name in the deployment
 * @param classes classes that replace those of the same name in the deployment
 * @param swings the periodic changes of demand
 * @param faults the faults during the run
 * @param policies additional policies by name; see {@link NamedPolicies} for the built-in
 * ones
 */
public record Scenario(@NotNull String name, @NotNull String deployment, @NotNull @Min(1) @Max(600) Integer seconds,
		@NotNull @Min(0) @Max(60) Integer warmUpSeconds, @NotNull @Min(1) @Max(600) Integer drainSeconds,
		@NotNull @DecimalMin("0.001") Double demand, @NotNull @Min(0) @Max(60_000) Integer balancerNoticeMillis,
		@NotNull List<Deployment.@Valid Account> accounts, @NotNull List<Deployment.@Valid RequestClass> classes,
		@NotNull List<@Valid Swing> swings, @NotNull List<@Valid ScheduledFault> faults,
		@NotNull Map<String, @Valid PolicySettings> policies) {

	private static final int DEFAULT_WARM_UP_SECONDS = 8;

	private static final int DEFAULT_DRAIN_SECONDS = 60;

	private static final int DEFAULT_BALANCER_NOTICE_MILLIS = 1_000;

	/**
	 * Replaces {@code null} by the defaults.
	 */
	public Scenario {
		warmUpSeconds = (warmUpSeconds != null) ? warmUpSeconds : Integer.valueOf(DEFAULT_WARM_UP_SECONDS);
		drainSeconds = (drainSeconds != null) ? drainSeconds : Integer.valueOf(DEFAULT_DRAIN_SECONDS);
		demand = (demand != null) ? demand : Double.valueOf(1);
		balancerNoticeMillis = (balancerNoticeMillis != null) ? balancerNoticeMillis
				: Integer.valueOf(DEFAULT_BALANCER_NOTICE_MILLIS);
		accounts = (accounts != null) ? List.copyOf(accounts) : List.of();
		classes = (classes != null) ? List.copyOf(classes) : List.of();
		swings = (swings != null) ? List.copyOf(swings) : List.of();
		faults = (faults != null) ? List.copyOf(faults) : List.of();
		policies = (policies != null) ? Map.copyOf(policies) : Map.of();
	}

	/**
	 * Returns a copy of this scenario without faults.
	 * @return the copy
	 */
	Scenario withoutFaults() {
		return new Scenario(this.name, this.deployment, this.seconds, this.warmUpSeconds, this.drainSeconds,
				this.demand, this.balancerNoticeMillis, this.accounts, this.classes, this.swings, List.of(),
				this.policies);
	}

	/**
	 * Applies the accounts, the classes and the demand factor of this scenario to a
	 * deployment.
	 * @param base the deployment without the changes of this scenario
	 * @param excludedClasses the names of the classes to exclude
	 * @return the deployment for this scenario
	 */
	public Deployment apply(Deployment base, List<String> excludedClasses) {
		List<Deployment.Account> allAccounts = base.accounts()
			.stream()
			.map((account) -> this.accounts.stream()
				.filter((other) -> other.name().equals(account.name()))
				.findFirst()
				.orElse(account))
			.toList();
		List<Deployment.RequestClass> allClasses = base.classes()
			.stream()
			.filter((requestClass) -> !excludedClasses.contains(requestClass.name()))
			.map((requestClass) -> this.classes.stream()
				.filter((other) -> other.name().equals(requestClass.name()))
				.findFirst()
				.orElse(requestClass))
			.map((requestClass) -> requestClass.withRate(requestClass.requestsPerSecond() * this.demand))
			.toList();
		return base.withDemand(allAccounts, allClasses);
	}

	/**
	 * A periodic change of demand. Immutable.
	 *
	 * @param firstSecond the start of the first occurrence, in seconds since the start of
	 * the measured part
	 * @param lastsSeconds the duration of each occurrence, in seconds
	 * @param everySeconds the period, in seconds
	 * @param factor the factor applied to the demand
	 * @param account the affected account; {@code null} for all accounts
	 * @param classes the affected classes; {@code null} for all classes
	 */
	public record Swing(@NotNull @DecimalMin("0") Double firstSecond, @NotNull @DecimalMin("0.1") Double lastsSeconds,
			@NotNull @DecimalMin("0.1") Double everySeconds, @NotNull @DecimalMin("0") Double factor,
			@Nullable String account, @Nullable List<String> classes) {

		boolean isActive(double second) {
			double elapsed = second - this.firstSecond;
			return elapsed >= 0 && elapsed % this.everySeconds < this.lastsSeconds;
		}

		boolean appliesTo(String requestAccount, String requestClassName) {
			return (this.account == null || this.account.equals(requestAccount))
					&& (this.classes == null || this.classes.contains(requestClassName));
		}

	}

	/**
	 * A fault that is injected during a run. Immutable.
	 *
	 * @param kind the kind of the fault
	 * @param atSecond the start, in seconds since the start of the measured part
	 * @param untilSecond the end, in seconds since the start of the measured part;
	 * {@code null} if the fault does not end. A killed daemon is not restarted; the end
	 * then limits only the time that reports attribute to the fault.
	 * @param share the share of engines affected, from 0 to 1; {@code null} for none
	 * @param slowdown the factor by which the affected engines are slower; {@code null}
	 * for 1; used by {@link FaultKind#SLOW_ENGINES} only
	 * @param reportLagMillis the age of the load in the reports of the affected engines,
	 * in milliseconds; {@code null} for 0 if the engines are slow, or for the age in the
	 * engine options if they are stalled
	 * @param daemon the index of the affected daemon; {@code null} for the first
	 */
	public record ScheduledFault(@NotNull FaultKind kind, @NotNull @DecimalMin("0") Double atSecond,
			@Nullable Double untilSecond, @Nullable Double share, @Nullable Double slowdown,
			@Nullable Integer reportLagMillis, @Nullable Integer daemon) {

		boolean isActive(double second) {
			return second >= this.atSecond && (this.untilSecond == null || second < this.untilSecond);
		}

	}

}
