package org.cyclamenstall.test.peers.load;

import java.net.InetSocketAddress;
import java.util.List;

import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.internal.peers.load.LoadReport;
import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.routes.RequestPriority;

/**
 * Creates load reports for tests.
 */
public final class LoadReports {

	private LoadReports() {
	}

	/**
	 * Returns the endpoint of a daemon on the loopback interface.
	 * @param port the port
	 * @param failureDomain the failure domain
	 * @return the endpoint
	 */
	public static LoadEndpoint endpoint(int port, String failureDomain) {
		return new LoadEndpoint(new InetSocketAddress("127.0.0.1", port), failureDomain);
	}

	/**
	 * Returns a report of the first incarnation of a daemon.
	 * @param sender the daemon
	 * @param sequence the number of the report
	 * @param loads the loads
	 * @return the report
	 */
	public static LoadReport report(LoadEndpoint sender, long sequence, UpstreamLoad... loads) {
		return new LoadReport(sender, 1, sequence, List.of(loads), List.of(), false, false);
	}

	/**
	 * Returns the load of an upstream.
	 * @param host the name of the upstream
	 * @param running the number of requests in flight
	 * @param priority the priority level of the pending requests
	 * @param pendingTokens their prompt tokens
	 * @return the load
	 */
	public static UpstreamLoad load(String host, int running, int priority, int pendingTokens) {
		int[] pendingByPriority = new int[RequestPriority.LOWEST + 1];
		pendingByPriority[priority] = pendingTokens;
		return new UpstreamLoad(UpstreamLoad.keyOf(host), running, 0, pendingByPriority);
	}

}
