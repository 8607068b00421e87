package org.cyclamenstall.standin.site;

import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.platform.ListedService;

/**
 * Holds an upstream of a site: its stand-in and the proxy that the host list names in its
 * place. Immutable.
 *
 * @param <S> the type of stand-in
 * @param service the name of the service in the host list
 * @param failureDomain its failure domain
 * @param standin the stand-in
 * @param proxy the proxy between the daemons and the stand-in
 */
public record Upstream<S extends Standin>(String service, String failureDomain, S standin,
		FaultProxy proxy) implements AutoCloseable {

	ListedService listed(String state) {
		return new ListedService(this.standin.name(), this.proxy.address().getAddress().getHostAddress(),
				this.proxy.address().getPort(), this.failureDomain, state);
	}

	@Override
	public void close() {
		this.proxy.close();
		this.standin.close();
	}

}
