package org.cyclamenstall.standin;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.platform.HostListStandin;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.platform.StoreStandin;
import org.cyclamenstall.standin.service.ServiceStandin;

/**
 * Stand-ins of one process. Members whose settings name a service are registered with
 * every host list of the group. Thread-safe once constructed.
 */
public final class StandinGroup implements AutoCloseable {

	private final Closer closer = new Closer();

	private final List<Standin> members = new ArrayList<>();

	/**
	 * Creates and starts all stand-ins.
	 * @param settings the settings
	 */
	public StandinGroup(StandinSettings settings) {
		try {
			settings.standins().forEach((item) -> this.members.add(this.closer.register(create(item))));
		}
		catch (RuntimeException ex) {
			this.closer.close();
			throw ex;
		}
		for (int index = 0; index < this.members.size(); index++) {
			registerWithHostLists(settings.standins().get(index), this.members.get(index));
		}
	}

	/**
	 * Returns the members of this group.
	 * @return the stand-ins in the order of the settings
	 */
	public List<Standin> members() {
		return List.copyOf(this.members);
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private void registerWithHostLists(StandinSettings.Item item, Standin standin) {
		if (item.service() == null) {
			return;
		}
		ListedService registration = new ListedService(item.name(), standin.address(), standin.port(),
				item.failureDomain(), ListedService.LIVE);
		for (Standin other : this.members) {
			if (other instanceof HostListStandin hostList) {
				hostList.putHost(item.service(), registration);
			}
		}
	}

	private static Standin create(StandinSettings.Item item) {
		return switch (item.kind()) {
			case STORE -> new StoreStandin(item.name(), item.address(), item.port(), item.controlPort(),
					item.writesPerSecond(), item.readsPerSecond());
			case HOST_LIST -> new HostListStandin(item.name(), item.address(), item.port(), item.controlPort());
			case ENGINE ->
				new EngineStandin(item.name(), item.address(), item.port(), item.controlPort(), item.engine());
			case SERVICE -> new ServiceStandin(item.name(), item.address(), item.port(), item.controlPort());
		};
	}

}
