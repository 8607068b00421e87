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
 * Starts a {@link Site}: the daemons in separate processes, the stand-ins in this
 * process, and fault proxies on the connections between them. Not thread-safe.
 */
public final class SiteLauncher {

	private static final String DAEMON_MAIN = "org.cyclamenstall.pgm.DaemonMain";

	private static final String DAEMON_SERVICE = "cyclamenstall";

	private static final int FAILURE_DOMAINS = 4;

	private final SiteSettings settings;

	private final Closer closer = new Closer();

	private final SiteAddresses addresses;

	private final Path directory;

	private int startedUpstreams;

	/**
	 * Creates a launcher.
	 * @param settings the settings of the site
	 */
	public SiteLauncher(SiteSettings settings) {
		this.settings = settings;
		this.addresses = new SiteAddresses(System.nanoTime() ^ (ProcessHandle.current().pid() << Integer.SIZE));
		this.directory = createTemporaryDirectory();
		this.closer.register(() -> FileUtilities.deleteDirectory(this.directory));
	}

	/**
	 * Starts the stand-ins and the daemons and waits until every daemon is ready. A
	 * shutdown hook stops them when this process exits.
	 * @return the running site
	 */
	public Site start() {
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
		List<UpstreamInstance<EngineStandin>> engines = startEngines();
		List<UpstreamInstance<ServiceStandin>> services = startServices();
		engines
			.forEach((upstream) -> hostList.putHost(upstream.service(), upstream.toListedService(ListedService.LIVE)));
		services
			.forEach((upstream) -> hostList.putHost(upstream.service(), upstream.toListedService(ListedService.LIVE)));
		List<DaemonInstance> daemons = createDaemons(store, hostList);
		daemons.forEach(DaemonInstance::start);
		return new Site(this.closer, store, hostList, engines, services, daemons);
	}

	private List<UpstreamInstance<EngineStandin>> startEngines() {
		List<UpstreamInstance<EngineStandin>> engines = new ArrayList<>();
		for (UpstreamGroup group : this.settings.engines()) {
			for (int index = 0; index < group.number(); index++) {
				engines.add(createUpstream(group, index, new EngineStandin(hostName(group, index),
						nextUpstreamAddress(), 0, this.settings.engineOptions())));
			}
		}
		return engines;
	}

	private List<UpstreamInstance<ServiceStandin>> startServices() {
		List<UpstreamInstance<ServiceStandin>> services = new ArrayList<>();
		for (UpstreamGroup group : this.settings.services()) {
			for (int index = 0; index < group.number(); index++) {
				services.add(createUpstream(group, index,
						new ServiceStandin(hostName(group, index), nextUpstreamAddress(), 0)));
			}
		}
		return services;
	}

	private String nextUpstreamAddress() {
		this.startedUpstreams++;
		return this.addresses.upstream(this.startedUpstreams - 1);
	}

	private static String hostName(UpstreamGroup group, int index) {
		return group.service() + "-" + (index + 1);
	}

	private <S extends Standin> UpstreamInstance<S> createUpstream(UpstreamGroup group, int index, S standin) {
		FaultProxy proxy = startProxy(standin.address(), standin.port());
		return this.closer.register(new UpstreamInstance<>(group.service(), failureDomain(index), standin, proxy));
	}

	private List<DaemonInstance> createDaemons(StoreStandin store, HostListStandin hostList) {
		List<DaemonPlan> plans = new ArrayList<>();
		for (int index = 0; index < this.settings.daemons(); index++) {
			plans.add(createPlan(index, store, hostList));
		}
		plans.forEach((plan) -> hostList.putHost(DAEMON_SERVICE, plan.toListedService()));
		return plans.stream().map((plan) -> this.closer.register(createDaemon(plan, plans))).toList();
	}

	private DaemonPlan createPlan(int index, StoreStandin store, HostListStandin hostList) {
		String address = this.addresses.daemon(index);
		InetSocketAddress callers = new InetSocketAddress(address, FreePort.find(address));
		InetSocketAddress operators = new InetSocketAddress(address, FreePort.find(address));
		InetSocketAddress peers = new InetSocketAddress(address, FreePort.find(address));
		DaemonProxies proxies = new DaemonProxies(startProxy(store.address(), store.port()),
				startProxy(hostList.address(), hostList.port()), startProxy(address, peers.getPort()),
				startProxy(address, callers.getPort()));
		return new DaemonPlan(this.settings.names().host() + "-" + (index + 1), failureDomain(index), callers,
				operators, peers, proxies);
	}

	private DaemonInstance createDaemon(DaemonPlan plan, List<DaemonPlan> all) {
		Path settingsFile = this.directory.resolve(plan.host() + ".yaml");
		writeSettings(settingsFile, createSettings(plan, all));
		JavaProcess process = new JavaProcess(plan.host(), this.directory, DAEMON_MAIN,
				List.of("--settings", settingsFile.toString()));
		return new DaemonInstance(plan.host(), plan.callers(), plan.operators(), plan.proxies(), process);
	}

	private DaemonSettings createSettings(DaemonPlan plan, List<DaemonPlan> all) {
		String address = plan.callers().getHostString();
		List<PeerAddress> seeds = all.stream().filter((other) -> other != plan).map(DaemonPlan::peerAddress).toList();
		return new DaemonSettings(plan.host(), plan.failureDomain(), this.settings.names().region(),
				new CallerSettings(address, plan.callers().getPort(), null, null, null, null, null),
				new OperatorSettings(address, plan.operators().getPort(), null),
				new PeerSettings(address, plan.peers().getPort(), null, seeds, this.settings.exchangeMillis(), null,
						plan.peerAddress().address(), plan.peerAddress().port()),
				platformSettings(plan), this.settings.policy(), this.settings.claims(), this.settings.shutdown(),
				new LogSettings("console", this.settings.logLevel()));
	}

	private PlatformSettings platformSettings(DaemonPlan plan) {
		InetSocketAddress store = plan.proxies().store().address();
		InetSocketAddress hostList = plan.proxies().hostList().address();
		return new PlatformSettings(
				new StoreSettings(null, store.getAddress().getHostAddress(), store.getPort(), null,
						this.settings.storeTimeoutMillis(), null),
				new HostListSettings(null, hostList.getAddress().getHostAddress(), hostList.getPort(), DAEMON_SERVICE,
						this.settings.pollMillis(), null));
	}

	private FaultProxy startProxy(String address, int port) {
		return this.closer.register(new FaultProxy(this.addresses.proxies(), new InetSocketAddress(address, port)));
	}

	private String failureDomain(int index) {
		return this.settings.names().region() + "-" + (char) ('a' + index % FAILURE_DOMAINS);
	}

	private static void writeSettings(Path file, DaemonSettings settings) {
		try {
			new YAMLMapper().writeValue(file.toFile(), settings);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Path createTemporaryDirectory() {
		try {
			return Files.createTempDirectory("cyclamenstall-site");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
