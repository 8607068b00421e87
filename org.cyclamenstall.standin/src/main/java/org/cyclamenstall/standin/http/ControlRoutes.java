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
 * Maps control requests below {@code /standin/} to their actions. Routes are added before
 * the first request; then thread-safe.
 */
public final class ControlRoutes implements HttpHandler {

	/** Starts the path of every control request. */
	public static final String PREFIX = "/standin/";

	private final List<Route> routes = new ArrayList<>();

	/**
	 * Adds a route.
	 * @param method the HTTP method
	 * @param path the path below the prefix; with a slash at its end it takes all paths
	 * below it
	 * @param action the action
	 * @return this
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

	private static void run(Route route, HttpServerExchange exchange, String rest, byte[] body) {
		try {
			Object result = route.action.run(rest, body);
			Json.send(exchange, StatusCodes.OK, (result != null) ? result : Map.of());
		}
		catch (IOException | IllegalArgumentException ex) {
			Json.send(exchange, StatusCodes.BAD_REQUEST, Map.of("error", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Carries out a control request.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Carries out a request.
		 * @param rest the rest of the path behind the route
		 * @param body the body
		 * @return the answer, sent as JSON; {@code null} for an empty one
		 * @throws IOException if the body is not what the route takes
		 */
		@Nullable Object run(String rest, byte[] body) throws IOException;

	}

	private record Route(String method, String path, Action action) {

		boolean matches(String otherMethod, String otherPath) {
			return this.method.equals(otherMethod)
					&& (this.path.endsWith("/") ? otherPath.startsWith(this.path) : otherPath.equals(this.path));
		}

	}

}
