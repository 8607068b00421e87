package org.cyclamenstall.events;

import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * Event of the event log. Each nested record is an event type, and its components are the
 * fields of the log line. Durations are in milliseconds. Immutable.
 */
public sealed interface Event {

	/**
	 * Returns the name of the event type in the log.
	 * @return the name of the record in lower case with hyphens
	 */
	default String type() {
		return getClass().getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
	}

	/**
	 * An attempt of a request was assigned to an upstream.
	 *
	 * @param request the request identifier
	 * @param route the route or catalogue entry
	 * @param account the client account
	 * @param priority the priority, where 0 is the highest; the priority of the account
	 * takes precedence over that of the route
	 * @param attempt the number of the attempt, from 1
	 * @param reason {@code first}, or the reason of the retry
	 * @param upstream the selected upstream
	 * @param promptTokens the length of the prompt
	 * @param uncachedTokens the prompt tokens that are expected to be missing from the
	 * prefix cache of the upstream
	 * @param unreadTokens the pending prefill ahead of the request at the upstream, in
	 * tokens
	 * @param inFlight the number of requests of this daemon in flight at the upstream,
	 * without this one
	 * @param candidates the number of upstreams of the service
	 * @param waitedMillis the time from the arrival of the request to the assignment
	 */
	record RequestPlaced(String request, String route, String account, int priority, int attempt, String reason,
			String upstream, int promptTokens, int uncachedTokens, long unreadTokens, int inFlight, int candidates,
			long waitedMillis) implements Event {

	}

	/**
	 * A request was queued because no upstream could accept it.
	 *
	 * @param request the request identifier
	 * @param route the route or catalogue entry
	 * @param priority the priority, where 0 is the highest
	 * @param waiting the number of queued requests of the service, including this one
	 * @param backlogTokens the work of the queued requests of the service, in prompt
	 * tokens
	 */
	record RequestQueued(String request, String route, int priority, int waiting, long backlogTokens) implements Event {

	}

	/**
	 * A request failed with an error response of the daemon.
	 *
	 * @param request the request identifier
	 * @param kind the error kind
	 * @param outcome whether the request was executed, as the label of an outcome
	 * @param detail the message sent to the caller
	 * @param retryAfterMillis the retry delay sent to the caller, or {@code null} for
	 * none
	 * @param responseStarted whether a part of a stream was already sent, so that the
	 * caller got no complete response
	 * @param attempts the number of attempts
	 * @param sinceArrivalMillis the time since the arrival of the request
	 */
	record RequestFailed(String request, String kind, String outcome, String detail, @Nullable Long retryAfterMillis,
			boolean responseStarted, int attempts, long sinceArrivalMillis) implements Event {

	}

	/**
	 * A request was rejected because of its headers or body, before any attempt.
	 *
	 * @param request the request identifier
	 * @param kind the error kind
	 * @param detail the message sent to the caller
	 * @param configurationVersion the version of the active route table or catalogue, or
	 * zero for none
	 * @param confirmedMillisAgo the time since the last successful read of the store, or
	 * zero on a daemon that is configured by the catalogue
	 */
	record RequestRefused(String request, String kind, String detail, long configurationVersion,
			long confirmedMillisAgo) implements Event {

	}

	/**
	 * An attempt failed.
	 *
	 * @param request the request identifier
	 * @param attempt the number of the attempt, from 1
	 * @param upstream the upstream
	 * @param failure the code of the error kind
	 * @param detail a description of the failure
	 * @param provesNotRun whether the upstream certainly did not execute the request
	 * @param afterMillis the time since the arrival of the request
	 * @param next the action that follows: a retry, or the reason why there is none
	 */
	record AttemptFailed(String request, int attempt, String upstream, String failure, String detail,
			boolean provesNotRun, long afterMillis, String next) implements Event {

	}

	/**
	 * A request ended with a complete response from an upstream or with the stored
	 * response to an earlier request.
	 *
	 * @param request the request identifier
	 * @param route the route or catalogue entry
	 * @param upstream the upstream, or empty for a stored response
	 * @param status the HTTP status
	 * @param attempts the number of attempts
	 * @param firstMillis the time from the arrival of the request to the first event of a
	 * stream or to the complete buffered response; zero for a stored response and for an
	 * error response that counts as a failed attempt
	 * @param longestPauseMillis the maximum time between two events with tokens of the
	 * same attempt
	 * @param totalMillis the time from the arrival of the request to the end of the
	 * response
	 */
	record RequestAnswered(String request, String route, String upstream, int status, int attempts, long firstMillis,
			long longestPauseMillis, long totalMillis) implements Event {

	}

	/**
	 * A caller disconnected before its response was complete.
	 *
	 * @param request the request identifier
	 * @param sinceArrivalMillis the time since the arrival of the request
	 * @param goesOn whether the attempt continues because the request must not be
	 * executed twice
	 */
	record CallerLeft(String request, long sinceArrivalMillis, boolean goesOn) implements Event {

	}

	/**
	 * A configuration became active.
	 *
	 * @param version the version
	 * @param before the previous version, or zero for none
	 * @param routes the number of routes
	 */
	record ConfigurationInForce(long version, long before, int routes) implements Event {

	}

	/**
	 * A configuration was rejected.
	 *
	 * @param storeVersion the version of the record in the store
	 * @param inForce the version of the active configuration, or zero for none
	 * @param detail the reason
	 */
	record ConfigurationRefused(long storeVersion, long inForce, String detail) implements Event {

	}

	/**
	 * An upstream was listed, or its record changed.
	 *
	 * @param upstream the upstream
	 * @param service its service
	 * @param address its address
	 * @param state the listed state, {@code live} or {@code leaving}
	 * @param storeVersion the version of the record in the store
	 */
	record UpstreamListed(String upstream, String service, String address, String state,
			long storeVersion) implements Event {

	}

	/**
	 * An upstream was removed from the list.
	 *
	 * @param upstream the upstream
	 * @param service its service
	 * @param detail the reason
	 */
	record UpstreamGone(String upstream, String service, String detail) implements Event {

	}

	/**
	 * A record of an upstream could not be decoded.
	 *
	 * @param key the key of the record
	 * @param storeVersion the version of the record in the store
	 */
	record UpstreamRecordUnreadable(String key, long storeVersion) implements Event {

	}

	/**
	 * An upstream was ejected: it receives no requests until the ejection time has
	 * passed.
	 *
	 * @param upstream the upstream
	 * @param result the result of the attempt that triggered the ejection
	 * @param failureShare the share of recent attempts that failed
	 * @param pauseMillis the ejection time
	 */
	record UpstreamPaused(String upstream, String result, double failureShare, long pauseMillis) implements Event {

	}

	/**
	 * An upstream returned to service after an ejection.
	 *
	 * @param upstream the upstream
	 */
	record UpstreamTrusted(String upstream) implements Event {

	}

	/**
	 * The store became unavailable.
	 *
	 * @param detail a description of the failure
	 * @param index the index of the last change that was applied
	 */
	record StoreLost(String detail, long index) implements Event {

	}

	/**
	 * The store became available again.
	 *
	 * @param awayMillis the duration of the outage
	 */
	record StoreRegained(long awayMillis) implements Event {

	}

	/**
	 * The store no longer retains the changes after the last applied one, so all records
	 * are listed again.
	 *
	 * @param index the index of the last change that was applied
	 */
	record StoreHistoryLost(long index) implements Event {

	}

	/**
	 * The store was restored from an older copy, and its records were listed again.
	 *
	 * @param generation the generation of the store
	 * @param previousGeneration the generation before
	 * @param revision the revision of the listing
	 * @param previousRevision the revision of the last change that was applied before
	 * @param records the number of records that were listed
	 */
	record StoreRestored(long generation, long previousGeneration, long revision, long previousRevision,
			int records) implements Event {

	}

	/**
	 * An upstream lost the connection of a request before it responded, and parts of the
	 * prompt are suspected.
	 *
	 * @param upstream the upstream
	 * @param parts the identifiers of the parts that other requests may share, separated
	 * by commas
	 * @param suspects the keys of the suspected parts, each with the number of crashes of
	 * which it is suspected, separated by commas
	 */
	record UpstreamCrashSuspected(String upstream, String parts, String suspects) implements Event {

	}

	/**
	 * A prompt part was quarantined: requests with it are refused.
	 *
	 * @param part the key of the part
	 * @param crashes the number of crashes that this daemon knows, or zero if another
	 * daemon decided
	 * @param repetitions the number of earlier quarantines of the part
	 * @param durationMillis the duration of the quarantine
	 * @param source whose evidence decided
	 */
	record PromptPartQuarantined(String part, int crashes, int repetitions, long durationMillis,
			String source) implements Event {

	}

	/**
	 * A quarantine ended because an upstream began to respond to a request with the part.
	 *
	 * @param part the key of the part
	 * @param afterMillis the time since the quarantine began
	 */
	record PromptPartReleased(String part, long afterMillis) implements Event {

	}

	/**
	 * The readiness of the daemon changed.
	 *
	 * @param ready whether it is ready
	 * @param reason why it is not ready, or empty if it is
	 */
	record ReadinessChanged(boolean ready, String reason) implements Event {

	}

	/**
	 * The daemon started.
	 *
	 * @param host the name of its host
	 * @param incarnation the start time, in milliseconds since the epoch
	 */
	record DaemonStarted(String host, long incarnation) implements Event {

	}

	/**
	 * The daemon began to shut down.
	 *
	 * @param openRequests the number of requests in progress
	 */
	record ShutdownBegun(int openRequests) implements Event {

	}

	/**
	 * The daemon finished its shutdown.
	 *
	 * @param openRequests the number of requests that are interrupted
	 * @param tookMillis the duration of the shutdown
	 */
	record ShutdownEnded(int openRequests, long tookMillis) implements Event {

	}

	/**
	 * The settings were reloaded, or a reload failed.
	 *
	 * @param cause the trigger of the reload
	 * @param changed whether the settings changed
	 * @param detail why they were not, or only partly, applied; empty otherwise
	 */
	record SettingsReloaded(String cause, boolean changed, String detail) implements Event {

	}

	/**
	 * An upstream said something of itself in a response.
	 *
	 * @param upstream the upstream
	 * @param state {@code leaving}, or {@code unavailable} for a time
	 * @param forMillis the time in milliseconds, or {@code null} for good
	 */
	record UpstreamAnnounced(String upstream, String state, @Nullable Long forMillis) implements Event {

	}

	/**
	 * This daemon leads the fleet.
	 *
	 * @param token the fencing token
	 */
	record LeadershipTaken(long token) implements Event {

	}

	/**
	 * This daemon no longer leads the fleet.
	 *
	 * @param token the fencing token of the leadership that ended
	 * @param reason {@code resigned} or {@code lost}
	 */
	record LeadershipEnded(long token, String reason) implements Event {

	}

	/**
	 * A lease that is not used any more could not be ended; it ends by itself.
	 *
	 * @param lease the lease
	 * @param detail the cause
	 */
	record LeaseNotEnded(long lease, String detail) implements Event {

	}

	/**
	 * The counts of a window were settled in the store.
	 *
	 * @param window the number of the window
	 * @param accounts the number of client accounts with requests
	 * @param requests the number of requests of all accounts
	 * @param ageMillis the time since the end of the window
	 */
	record WindowSettled(long window, int accounts, long requests, long ageMillis) implements Event {

	}

	/**
	 * The usage of a window was reported to the platform.
	 *
	 * @param window the number of the window
	 * @param token the fencing token
	 * @param result the result of the call
	 * @param ageMillis the time since the end of the window
	 */
	record UsageReported(long window, long token, String result, long ageMillis) implements Event {

	}

	/**
	 * A number of upstreams was ordered from the platform.
	 *
	 * @param service the name of the service
	 * @param domain the failure domain
	 * @param preemptible whether the platform may take the upstreams away
	 * @param count the number that was ordered
	 * @param present the number that is listed and not leaving
	 * @param needed the number of upstreams that the service needs in all failure domains
	 * @param token the fencing token
	 * @param result the result of the call
	 */
	record UpstreamsOrdered(String service, String domain, boolean preemptible, int count, int present, double needed,
			long token, String result) implements Event {

	}

	/**
	 * Events of a type were dropped because of the rate limit or a full queue.
	 *
	 * @param left the name of the event type
	 * @param count the number of dropped events
	 */
	record EventsLeftOut(String left, long count) implements Event {

	}

}
