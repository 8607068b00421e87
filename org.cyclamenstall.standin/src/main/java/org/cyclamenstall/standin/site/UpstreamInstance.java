package org.cyclamenstall.standin.site;

import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.platform.ListedService;

/**
 * An upstream of a site: its stand-in and the fault proxy whose address is published in
 * the host list. Immutable.
 *
 * @param <S> the type of stand-in
 * @param service the name of the service in the host list
 * @param failureDomain the failure domain of the upstream
 * @param standin the stand-in of the upstream
 * @param proxy the proxy between the daemons and the stand-in
 */
public record UpstreamInstance<S extends Standin>(String service, String failureDomain, S standin,
		FaultProxy proxy) implements AutoCloseable {

	ListedService toListedService(String state) {
		return new ListedService(this.standin.name(), this.proxy.address().getAddress().getHostAddress(),
				this.proxy.address().getPort(), this.failureDomain, state);
	}

	@Override
	public void close() {
		this.proxy.close();
		this.standin.close();
	}

}
