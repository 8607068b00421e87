package org.cyclamenstall.lib;

/**
 * Names the HTTP headers between callers, daemons and upstreams.
 */
public final class HeaderNames {

	/** Carries the caller's API key or the operator's token, as {@code Bearer KEY}. */
	public static final String AUTHORIZATION = "Authorization";

	/** Names a request of the caller, so that it runs at most once. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Carries the request identifier to the caller, and the attempt identifier between
	 * daemon and upstream, which echoes it.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	/** Carries the outcome of a failed request to the caller. */
	public static final String OUTCOME = "X-Outcome";

	/** Carries the error kind of a failed request to the caller. */
	public static final String ERROR_KIND = "X-Error-Kind";

	/** Names the upstream host that answered, to the caller. */
	public static final String UPSTREAM = "X-Upstream";

	/** Names the daemon that answered, to the caller. */
	public static final String ROUTED_BY = "X-Routed-By";

	/** Tells an engine the priority of a request: 0 is the highest. */
	public static final String PRIORITY = "X-Priority";

	/**
	 * Asks an engine to go on after this many generated tokens instead of starting anew.
	 */
	public static final String RESUME_TOKENS = "X-Resume-Tokens";

	/** Carries an engine's count of running requests; lags. */
	public static final String ENGINE_RUNNING = "X-Engine-Running";

	/** Carries an engine's count of slots. */
	public static final String ENGINE_SLOTS = "X-Engine-Slots";

	/** Carries the age of an engine's load report, in milliseconds. */
	public static final String ENGINE_REPORT_AGE = "X-Engine-Report-Age";

	/** Set to {@code true} by an upstream that takes no new work. */
	public static final String DRAINING = "X-Draining";

	private HeaderNames() {
	}

}
