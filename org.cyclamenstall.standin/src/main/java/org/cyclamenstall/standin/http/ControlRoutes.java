package org.cyclamenstall.standin.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.jspecify.annotations.Nullable;

/**
 * Routes control requests below {@code /standin/} to their actions. All routes must be
 * added before the first request; thread-safe after that.
 */
public final class ControlRoutes implements HttpHandler {

	/** Path prefix of all control requests. */
	public static final String PREFIX = "/standin/";

	private final List<Route> routes = new ArrayList<>();

	/**
	 * Adds a route.
	 * @param method the HTTP method
	 * @param path the path below the prefix; if it ends with a slash, it matches all
	 * paths below it
	 * @param action the action to run
	 * @return this instance
	 */
	public ControlRoutes add(String method, String path, Action action) {
		this.routes.add(new Route(method, PREFIX + path, action));
		return this;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String method = exchange.getRequestMethod().toString();
		String path = exchange.getRequestPath();
		for (Route route : this.routes) {
			if (route.matches(method, path)) {
				exchange.getRequestReceiver()
					.receiveFullBytes((ready, body) -> run(route, ready, path.substring(route.path.length()), body));
				return;
			}
		}
		exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
	}

	private static void run(Route route, HttpServerExchange exchange, String remainingPath, byte[] body) {
		try {
			Object result = route.action.run(remainingPath, body);
			Json.send(exchange, StatusCodes.OK, (result != null) ? result : Map.of());
		}
		catch (IOException | IllegalArgumentException ex) {
			Json.send(exchange, StatusCodes.BAD_REQUEST, Map.of("error", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Action of a control request.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Handles a control request.
		 * @param remainingPath the part of the path after the path of the route
		 * @param body the request body
		 * @return the value to send as JSON; {@code null} for an empty object
		 * @throws IOException if the body is invalid for this route
		 */
		@Nullable Object run(String remainingPath, byte[] body) throws IOException;

	}

	private record Route(String method, String path, Action action) {

		boolean matches(String requestMethod, String requestPath) {
			return this.method.equals(requestMethod)
					&& (this.path.endsWith("/") ? requestPath.startsWith(this.path) : requestPath.equals(this.path));
		}

	}

}
