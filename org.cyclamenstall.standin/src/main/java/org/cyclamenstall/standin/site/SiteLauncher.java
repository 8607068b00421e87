package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.settings.CallerSettings;
import org.cyclamenstall.settings.DaemonSettings;
import org.cyclamenstall.settings.HostListSettings;
import org.cyclamenstall.settings.LogSettings;
import org.cyclamenstall.settings.OperatorSettings;
import org.cyclamenstall.settings.PeerAddress;
import org.cyclamenstall.settings.PeerSettings;
import org.cyclamenstall.settings.PlatformSettings;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.platform.HostListStandin;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.platform.StoreStandin;
import org.cyclamenstall.standin.service.ServiceStandin;

/**
 * Starts a {@link Site}: daemons as processes of their own, the stand-ins in this
 * process, and a fault proxy on each way between them. Not thread-safe.
 */
public final class SiteLauncher {

	private static final String DAEMON_MAIN = "org.cyclamenstall.pgm.DaemonMain";

	private static final String DAEMON_SERVICE = "cyclamenstall";

	private static final int FAILURE_DOMAINS = 4;

	private final SiteSettings settings;

	private final Closer closer = new Closer();

	private final SiteAddresses addresses;

	private final Path directory;

	private int upstreams;

	/**
	 * Creates a launcher.
	 * @param settings the sizes and bounds of the site
	 */
	public SiteLauncher(SiteSettings settings) {
		this.settings = settings;
		this.addresses = new SiteAddresses(System.nanoTime() ^ (ProcessHandle.current().pid() << Integer.SIZE));
		this.directory = temporaryDirectory();
		this.closer.register(() -> FileUtilities.deleteDirectory(this.directory));
	}

	/**
	 * Starts the stand-ins and the daemons and waits until every daemon is ready. They
	 * end with this process at the latest.
	 * @return the site
	 */
	public Site call() {
		Runtime.getRuntime().addShutdownHook(new Thread(this.closer::close, "site-shutdown"));
		try {
			Site site = launch();
			site.daemons().forEach(DaemonInstance::awaitReady);
			return site;
		}
		catch (RuntimeException ex) {
			this.closer.close();
			throw ex;
		}
	}

	private Site launch() {
		StoreStandin store = this.closer.register(new StoreStandin("store", this.addresses.platform(), 0));
		HostListStandin hostList = this.closer.register(new HostListStandin("host-list", this.addresses.platform(), 0));
		List<Upstream<EngineStandin>> engines = engines();
		List<Upstream<ServiceStandin>> services = services();
		engines.forEach((upstream) -> hostList.putHost(upstream.service(), upstream.listed(ListedService.LIVE)));
		services.forEach((upstream) -> hostList.putHost(upstream.service(), upstream.listed(ListedService.LIVE)));
		List<DaemonInstance> daemons = daemons(store, hostList);
		daemons.forEach(DaemonInstance::start);
		return new Site(this.closer, store, hostList, engines, services, daemons);
	}

	private List<Upstream<EngineStandin>> engines() {
		List<Upstream<EngineStandin>> engines = new ArrayList<>();
		for (UpstreamGroup group : this.settings.engines()) {
			for (int index = 0; index < group.number(); index++) {
				engines.add(upstream(group, index, new EngineStandin(name(group, index), nextUpstreamAddress(), 0,
						this.settings.engineOptions())));
			}
		}
		return engines;
	}

	private List<Upstream<ServiceStandin>> services() {
		List<Upstream<ServiceStandin>> services = new ArrayList<>();
		for (UpstreamGroup group : this.settings.services()) {
			for (int index = 0; index < group.number(); index++) {
				services.add(upstream(group, index, new ServiceStandin(name(group, index), nextUpstreamAddress(), 0)));
			}
		}
		return services;
	}

	private String nextUpstreamAddress() {
		this.upstreams++;
		return this.addresses.upstream(this.upstreams - 1);
	}

	private static String name(UpstreamGroup group, int index) {
		return group.service() + "-" + (index + 1);
	}

	private <S extends Standin> Upstream<S> upstream(UpstreamGroup group, int index, S standin) {
		FaultProxy proxy = proxyTo(standin.address(), standin.port());
		return this.closer.register(new Upstream<>(group.service(), domain(index), standin, proxy));
	}

	private List<DaemonInstance> daemons(StoreStandin store, HostListStandin hostList) {
		List<DaemonPlan> plans = new ArrayList<>();
		for (int index = 0; index < this.settings.daemons(); index++) {
			plans.add(plan(index, store, hostList));
		}
		plans.forEach((plan) -> hostList.putHost(DAEMON_SERVICE, plan.listed()));
		return plans.stream().map((plan) -> this.closer.register(daemon(plan, plans))).toList();
	}

	private DaemonPlan plan(int index, StoreStandin store, HostListStandin hostList) {
		String address = this.addresses.daemon(index);
		InetSocketAddress callers = new InetSocketAddress(address, FreePort.on(address));
		InetSocketAddress operators = new InetSocketAddress(address, FreePort.on(address));
		InetSocketAddress peers = new InetSocketAddress(address, FreePort.on(address));
		DaemonProxies proxies = new DaemonProxies(proxyTo(store.address(), store.port()),
				proxyTo(hostList.address(), hostList.port()), proxyTo(address, peers.getPort()),
				proxyTo(address, callers.getPort()));
		return new DaemonPlan(this.settings.names().host() + "-" + (index + 1), domain(index), callers, operators,
				peers, proxies);
	}

	private DaemonInstance daemon(DaemonPlan plan, List<DaemonPlan> all) {
		Path file = this.directory.resolve(plan.host() + ".yaml");
		write(file, settingsOf(plan, all));
		JavaProcess process = new JavaProcess(plan.host(), this.directory, DAEMON_MAIN,
				List.of("--settings", file.toString()));
		return new DaemonInstance(plan.host(), plan.callers(), plan.operators(), plan.proxies(), process);
	}

	private DaemonSettings settingsOf(DaemonPlan plan, List<DaemonPlan> all) {
		String address = plan.callers().getHostString();
		List<PeerAddress> seeds = all.stream().filter((other) -> other != plan).map(DaemonPlan::seed).toList();
		return new DaemonSettings(plan.host(), plan.failureDomain(), this.settings.names().region(),
				new CallerSettings(address, plan.callers().getPort(), null, null, null, null, null),
				new OperatorSettings(address, plan.operators().getPort(), null),
				new PeerSettings(address, plan.peers().getPort(), null, seeds, this.settings.exchangeMillis(), null,
						plan.seed().address(), plan.seed().port()),
				platform(plan), this.settings.policy(), this.settings.claims(), this.settings.shutdown(),
				new LogSettings("console", this.settings.logLevel()));
	}

	private PlatformSettings platform(DaemonPlan plan) {
		InetSocketAddress store = plan.proxies().store().address();
		InetSocketAddress hostList = plan.proxies().hostList().address();
		return new PlatformSettings(
				new StoreSettings(null, store.getAddress().getHostAddress(), store.getPort(), null,
						this.settings.storeTimeoutMillis(), null),
				new HostListSettings(null, hostList.getAddress().getHostAddress(), hostList.getPort(), DAEMON_SERVICE,
						this.settings.pollMillis(), null));
	}

	private FaultProxy proxyTo(String address, int port) {
		return this.closer.register(new FaultProxy(this.addresses.proxies(), new InetSocketAddress(address, port)));
	}

	private String domain(int index) {
		return this.settings.names().region() + "-" + (char) ('a' + index % FAILURE_DOMAINS);
	}

	private static void write(Path file, DaemonSettings settings) {
		try {
			new YAMLMapper().writeValue(file.toFile(), settings);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Path temporaryDirectory() {
		try {
			return Files.createTempDirectory("cyclamenstall-site");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
