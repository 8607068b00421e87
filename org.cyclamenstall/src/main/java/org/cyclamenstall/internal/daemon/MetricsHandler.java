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
 * Answers with the metrics of the daemon as Prometheus text, whatever the path.
 * Thread-safe.
 */
final class MetricsHandler implements HttpHandler {

	private final PrometheusTextFormatWriter format = PrometheusTextFormatWriter.create();

	private final PrometheusRegistry registry;

	MetricsHandler(PrometheusRegistry registry) {
		this.registry = registry;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) throws IOException {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		this.format.write(text, this.registry.scrape());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, this.format.getContentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(text.toByteArray()));
	}

}
