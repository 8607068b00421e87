package org.cyclamenstall.internal.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Serves the metrics of the daemon in the Prometheus text format on every path.
 * Thread-safe.
 */
final class MetricsHandler implements HttpHandler {

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

	private final PrometheusRegistry registry;

	MetricsHandler(PrometheusRegistry registry) {
		this.registry = registry;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		this.writer.write(body, this.registry.scrape());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, this.writer.getContentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(body.toByteArray()));
	}

}
