package org.cyclamenstall.lib;

/**
 * Names of the HTTP headers used between callers, daemons and upstreams.
 */
public final class HeaderNames {

	/** API key of the caller or token of the operator, as {@code Bearer KEY}. */
	public static final String AUTHORIZATION = "Authorization";

	/**
	 * Key with which a caller identifies a request, so that it is executed at most once.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Request identifier in responses to callers. Between daemon and upstream, the
	 * identifier of the attempt, which the upstream echoes.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	/** Outcome of a failed request, in responses to callers and operators. */
	public static final String OUTCOME = "X-Outcome";

	/** Error kind of a failed request, in responses to callers and operators. */
	public static final String ERROR_KIND = "X-Error-Kind";

	/** Name of the upstream host that sent the response, in responses to callers. */
	public static final String UPSTREAM = "X-Upstream";

	/** Name of the daemon that handled the request, in responses to callers. */
	public static final String ROUTED_BY = "X-Routed-By";

	/** Priority of a request, sent to engines, where 0 is the highest. */
	public static final String PRIORITY = "X-Priority";

	/**
	 * Number of generated tokens after which an engine is asked to resume, instead of
	 * starting from the first token.
	 */
	public static final String RESUME_TOKENS = "X-Resume-Tokens";

	/** Number of running requests that an engine reports; the report may be outdated. */
	public static final String ENGINE_RUNNING = "X-Engine-Running";

	/** Number of slots that an engine reports. */
	public static final String ENGINE_SLOTS = "X-Engine-Slots";

	/** Age of the load report of an engine, in milliseconds. */
	public static final String ENGINE_REPORT_AGE = "X-Engine-Report-Age";

	/** Set to {@code true} by an upstream that accepts no new requests. */
	public static final String DRAINING = "X-Draining";

	private HeaderNames() {
	}

}
