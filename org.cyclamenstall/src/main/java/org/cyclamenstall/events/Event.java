package org.cyclamenstall.events;

import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * Lists the types of events with their fields. Each event is one line of the log. Times
 * are in milliseconds. Immutable.
 */
public sealed interface Event {

	/**
	 * Returns the name of the type in the log.
	 * @return the name, in lower case with hyphens
	 */
	default String type() {
		return getClass().getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
	}

	/**
	 * An attempt of a request was placed on an upstream.
	 *
	 * @param request the request identifier
	 * @param route the route or catalogue entry
	 * @param account the client account
	 * @param priority the rank, where 0 is the highest: the account's, then the route's
	 * @param attempt the number of the attempt
	 * @param reason why it is made: {@code first}, or why the one before failed
	 * @param upstream the chosen upstream
	 * @param promptTokens the length of the prompt
	 * @param uncachedTokens the part of it that the upstream is expected to read
	 * @param unreadTokens the prompt tokens that this daemon sent there and that are not
	 * read yet
	 * @param inFlight the requests of this daemon there
	 * @param candidates the upstreams that could be chosen
	 * @param waitedMillis how long the request waited before
	 */
	record RequestPlaced(String request, String route, String account, int priority, int attempt, String reason,
			String upstream, int promptTokens, int uncachedTokens, long unreadTokens, int inFlight, int candidates,
			long waitedMillis) implements Event {

	}

	/**
	 * A request waits for an upstream.
	 *
	 * @param request the request identifier
	 * @param route the route or catalogue entry
	 * @param priority the rank, where 0 is the highest
	 * @param waiting the requests that wait for the same service
	 * @param backlogTokens the prompt tokens that are not read yet at the best upstream
	 */
	record RequestQueued(String request, String route, int priority, int waiting, long backlogTokens) implements Event {

	}

	/**
	 * A request got an error that no upstream gave.
	 *
	 * @param request the request identifier
	 * @param kind the error kind
	 * @param outcome what is known of the execution
	 * @param detail the detail for the caller
	 * @param retryAfterMillis when the caller is asked to come back, or {@code null}
	 * @param attempts the attempts that were made
	 * @param sinceArrivalMillis the time since the request arrived
	 */
	record RequestFailed(String request, String kind, String outcome, String detail, @Nullable Long retryAfterMillis,
			int attempts, long sinceArrivalMillis) implements Event {

	}

	/**
	 * A request was refused by its head or body, before it was placed.
	 *
	 * @param request the request identifier
	 * @param kind the error kind
	 * @param detail the detail for the caller
	 * @param configurationVersion the version of the routes in force, or zero for none
	 * @param confirmedMillisAgo how long ago the store was last asked with success
	 */
	record RequestRefused(String request, String kind, String detail, long configurationVersion,
			long confirmedMillisAgo) implements Event {

	}

	/**
	 * An attempt failed.
	 *
	 * @param request the request identifier
	 * @param attempt the number of the attempt
	 * @param upstream the upstream
	 * @param failure how it failed
	 * @param detail what was seen
	 * @param provesNotRun whether it is certain that the upstream did not run it
	 * @param afterMillis the time since the attempt began
	 * @param next what is done next
	 */
	record AttemptFailed(String request, int attempt, String upstream, String failure, String detail,
			boolean provesNotRun, long afterMillis, String next) implements Event {

	}

	/**
	 * A request got a whole answer of an upstream.
	 *
	 * @param request the request identifier
	 * @param route the route or catalogue entry
	 * @param upstream the upstream
	 * @param status the HTTP status
	 * @param attempts the attempts that were made
	 * @param firstMillis the time to the first event or to the answer
	 * @param longestPauseMillis the longest pause between two events
	 * @param totalMillis the time to the end of the answer
	 */
	record RequestAnswered(String request, String route, String upstream, int status, int attempts, long firstMillis,
			long longestPauseMillis, long totalMillis) implements Event {

	}

	/**
	 * A caller left before the end of its answer.
	 *
	 * @param request the request identifier
	 * @param sinceArrivalMillis the time since the request arrived
	 * @param goesOn whether the attempt goes on because it may not be repeated
	 */
	record CallerLeft(String request, long sinceArrivalMillis, boolean goesOn) implements Event {

	}

	/**
	 * A configuration is in force.
	 *
	 * @param version the version
	 * @param before the version before, or zero for none
	 * @param routes the number of routes
	 */
	record ConfigurationInForce(long version, long before, int routes) implements Event {

	}

	/**
	 * A configuration was not taken.
	 *
	 * @param storeVersion the store's version of the record
	 * @param inForce the version in force, or zero for none
	 * @param detail why
	 */
	record ConfigurationRefused(long storeVersion, long inForce, String detail) implements Event {

	}

	/**
	 * An upstream is listed, or its record changed.
	 *
	 * @param upstream the upstream
	 * @param service its service
	 * @param address its address
	 * @param state whether it takes new work
	 * @param storeVersion the store's version of the record
	 */
	record UpstreamListed(String upstream, String service, String address, String state,
			long storeVersion) implements Event {

	}

	/**
	 * An upstream is not listed any more.
	 *
	 * @param upstream the upstream
	 * @param service its service
	 * @param detail why
	 */
	record UpstreamGone(String upstream, String service, String detail) implements Event {

	}

	/**
	 * A record does not describe an upstream.
	 *
	 * @param key the key of the record
	 * @param storeVersion the store's version of the record
	 */
	record UpstreamRecordUnreadable(String key, long storeVersion) implements Event {

	}

	/**
	 * An upstream is left alone for a while.
	 *
	 * @param upstream the upstream
	 * @param result the end of the attempt that decided it
	 * @param failureShare the share of attempts that failed lately
	 * @param pauseMillis how long it is left alone
	 */
	record UpstreamPaused(String upstream, String result, double failureShare, long pauseMillis) implements Event {

	}

	/**
	 * An upstream is trusted again.
	 *
	 * @param upstream the upstream
	 */
	record UpstreamTrusted(String upstream) implements Event {

	}

	/**
	 * The store stopped answering.
	 *
	 * @param detail what was seen
	 * @param index the index of the last change that was taken
	 */
	record StoreLost(String detail, long index) implements Event {

	}

	/**
	 * The store answers again.
	 *
	 * @param awayMillis how long it did not
	 */
	record StoreRegained(long awayMillis) implements Event {

	}

	/**
	 * The store does not hold the changes since the last one; everything is listed again.
	 *
	 * @param index the index of the last change that was taken
	 */
	record StoreHistoryLost(long index) implements Event {

	}

	/**
	 * The daemon began or ceased to be ready.
	 *
	 * @param ready whether it is ready
	 * @param reason why it is not, or empty
	 */
	record ReadinessChanged(boolean ready, String reason) implements Event {

	}

	/**
	 * The daemon started.
	 *
	 * @param host the name of its host
	 * @param incarnation the time of the start, in milliseconds since the epoch
	 */
	record DaemonStarted(String host, long incarnation) implements Event {

	}

	/**
	 * The daemon begins to shut down.
	 *
	 * @param openRequests the requests that are not answered
	 */
	record ShutdownBegun(int openRequests) implements Event {

	}

	/**
	 * The daemon ends.
	 *
	 * @param openRequests the requests that are cut
	 * @param tookMillis how long the shutdown took
	 */
	record ShutdownEnded(int openRequests, long tookMillis) implements Event {

	}

	/**
	 * The settings were read again.
	 *
	 * @param cause what asked for it
	 * @param changed whether they changed
	 * @param detail what could not be taken, or empty
	 */
	record SettingsReloaded(String cause, boolean changed, String detail) implements Event {

	}

	/**
	 * Events of a type were left out because there were too many.
	 *
	 * @param left the name of the type
	 * @param count how many
	 */
	record EventsLeftOut(String left, long count) implements Event {

	}

}
