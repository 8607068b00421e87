package org.cyclamenstall.internal.daemon;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.internal.operators.ReadinessProbe;

/**
 * Serves the readiness probe: status 200 if the daemon accepts requests, otherwise 503
 * with the reason. Other paths get status 404. Thread-safe; never blocks.
 */
final class ProbeHandler implements HttpHandler {

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_UNAVAILABLE = 503;

	private final String path;

	private final ReadinessProbe probe;

	ProbeHandler(String path, ReadinessProbe probe) {
		this.path = path;
		this.probe = probe;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().equals(this.path)) {
			exchange.setStatusCode(STATUS_NOT_FOUND);
			exchange.endExchange();
			return;
		}
		Readiness readiness = this.probe.readiness();
		exchange.setStatusCode(readiness.ready() ? STATUS_OK : STATUS_UNAVAILABLE);
		exchange.getResponseSender().send(readiness.ready() ? "ready\n" : readiness.reason() + "\n");
	}

}
