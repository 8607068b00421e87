package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.site.DaemonInstance;
import org.cyclamenstall.standin.site.Site;
import org.cyclamenstall.standin.site.SiteLauncher;
import org.cyclamenstall.standin.site.SiteNames;
import org.cyclamenstall.standin.site.SiteSettings;
import org.cyclamenstall.standin.site.UpstreamGroup;
import org.cyclamenstall.standin.site.UpstreamInstance;
import org.jspecify.annotations.Nullable;

/**
 * Load target that starts the stand-ins and the daemons of a deployment and stops them
 * when it is closed. Thread-safe.
 */
final class EmbeddedTarget implements LoadTarget {

	private static final int PEER_EXCHANGE_INTERVAL_MILLIS = 1_000;

	private static final int HOST_LIST_POLL_INTERVAL_MILLIS = 1_000;

	private final Site site;

	/**
	 * Starts the deployment and activates its catalogue on all daemons.
	 * @param deployment the deployment
	 * @param policy the policies of the daemons
	 */
	EmbeddedTarget(Deployment deployment, PolicySettings policy) {
		this.site = new SiteLauncher(settings(deployment, policy)).start();
		try {
			deployment.entries().forEach(this::putEntry);
			deployment.accounts().forEach((account) -> putEntry(accountEntry(deployment, account)));
		}
		catch (RuntimeException ex) {
			this.site.close();
			throw ex;
		}
	}

	@Override
	public List<InetSocketAddress> daemons() {
		return this.site.daemons().stream().map(DaemonInstance::callerAddress).toList();
	}

	@Override
	public EngineCounts engineCounts() {
		return EngineCounts.sum(this.site.engines().stream().map((engine) -> engine.standin().counts()).toList());
	}

	@Override
	public void startFault(Scenario.ScheduledFault fault) {
		switch (fault.kind()) {
			case SLOW_ENGINES -> affectedEngines(fault).forEach((engine) -> engine.standin()
				.setFaults(EngineFaults.slow(orDefault(fault.slowdown(), 1), orDefault(fault.reportLagMillis(), 0))));
			case STALL_ENGINES -> affectedEngines(fault).forEach((engine) -> engine.standin()
				.setFaults(new EngineFaults(null, null, true, fault.reportLagMillis(), null, null, null, null, null,
						null, null)));
			case CRASH_ENGINES -> affectedEngines(fault).forEach((engine) -> engine.standin().crash());
			case KILL_DAEMON -> this.site.daemon(orDefault(fault.daemon(), 0)).process().kill();
			default -> throw new IllegalArgumentException(fault.kind().label());
		}
	}

	@Override
	public void endFault(Scenario.ScheduledFault fault) {
		affectedEngines(fault).forEach((engine) -> engine.standin().setFaults(EngineFaults.NONE));
	}

	@Override
	public void close() {
		this.site.close();
	}

	private List<UpstreamInstance<EngineStandin>> affectedEngines(Scenario.ScheduledFault fault) {
		List<UpstreamInstance<EngineStandin>> engines = this.site.engines();
		return engines.subList(0, (int) Math.ceil(engines.size() * orDefault(fault.share(), 0)));
	}

	private void putEntry(CatalogueEntry entry) {
		this.site.putEntry(entry.name(), new String(Json.write(entry), StandardCharsets.UTF_8));
	}

	private static CatalogueEntry accountEntry(Deployment deployment, Deployment.Account account) {
		Set<String> entryNames = new LinkedHashSet<>(deployment.entries().stream().map(CatalogueEntry::name).toList());
		String keyHash = DigestUtils.sha256Hex(RequestSender.apiKey(account.name()));
		return new CatalogueEntry(account.name(), EntryKind.ACCOUNT, "load-tool", Tier.INTERACTIVE, account.limits(),
				null, null, null, null, null, null, null, null, null, List.of(keyHash), entryNames);
	}

	private static SiteSettings settings(Deployment deployment, PolicySettings policy) {
		SiteSettings defaults = SiteSettings.SMALL;
		return new SiteSettings(new SiteNames(deployment.region(), "entry"), deployment.balancerWeights().size(),
				List.of(new UpstreamGroup(deployment.engines().service(), deployment.engines().number())),
				List.of(new UpstreamGroup(deployment.services().service(), deployment.services().number())),
				deployment.engines().options(), policy, defaults.claims(), defaults.shutdown(),
				defaults.storeTimeoutMillis(), PEER_EXCHANGE_INTERVAL_MILLIS, HOST_LIST_POLL_INTERVAL_MILLIS,
				defaults.logLevel());
	}

	private static double orDefault(@Nullable Double value, double defaultValue) {
		return (value != null) ? value : defaultValue;
	}

	private static int orDefault(@Nullable Integer value, int defaultValue) {
		return (value != null) ? value : defaultValue;
	}

}
