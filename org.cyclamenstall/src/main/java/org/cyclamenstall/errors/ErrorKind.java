package org.cyclamenstall.errors;

import java.util.Locale;

/**
 * Lists every kind of error that a caller or an operator can be told of. The answer to
 * each kind is decided in {@link ErrorTable} and nowhere else.
 */
public enum ErrorKind {

	/** The request is not well-formed. */
	MALFORMED_REQUEST,

	/** No or an unknown API key was presented. */
	UNKNOWN_API_KEY,

	/** The client account may not call this entry. */
	ENTRY_FORBIDDEN,

	/** No catalogue entry serves this model or path. */
	UNKNOWN_ROUTE,

	/** The path exists, the method does not. */
	METHOD_NOT_ALLOWED,

	/** The body exceeds the bound of the entry or of the daemon. */
	BODY_TOO_LARGE,

	/** The caller sent its body too slowly. */
	REQUEST_READ_TIMEOUT,

	/** The entry demands an idempotency key and none was sent. */
	IDEMPOTENCY_KEY_REQUIRED,

	/** The idempotency key was used before with another body. */
	IDEMPOTENCY_KEY_REUSED,

	/** A request with this idempotency key is still running. */
	IDEMPOTENCY_IN_PROGRESS,

	/** An earlier request with this idempotency key may have run. */
	IDEMPOTENCY_OUTCOME_UNKNOWN,

	/** An earlier request with this key ran, and its answer was too large to keep. */
	IDEMPOTENCY_ANSWER_NOT_KEPT,

	/** The claim of a named request could not be recorded in the store. */
	CLAIM_STORE_UNAVAILABLE,

	/** The claim was too old at dispatch, after a pause of the daemon. */
	CLAIM_EXPIRED,

	/** The limit on requests per second is reached. */
	REQUEST_RATE_LIMITED,

	/** The limit on concurrent requests is reached. */
	CONCURRENCY_LIMITED,

	/** The limit on tokens per second is reached. */
	TOKEN_RATE_LIMITED,

	/** The queue of the tier is full. */
	QUEUE_FULL,

	/** The request was dropped in favour of one of a higher tier. */
	SHED,

	/** The deadline cannot be met any more. */
	DEADLINE_UNREACHABLE,

	/** The deadline passed while the request waited. */
	DEADLINE_EXCEEDED,

	/** No live upstream serves the entry. */
	NO_LIVE_UPSTREAM,

	/** Every attempt was refused before it reached an upstream. */
	UPSTREAM_UNREACHABLE,

	/** The upstream declared that it did not execute the request. */
	UPSTREAM_REFUSED,

	/** The upstream did not answer in time. */
	UPSTREAM_TIMEOUT,

	/** The connection to the upstream ended before a whole answer. */
	UPSTREAM_CONNECTION_LOST,

	/** The upstream's answer is not well-formed. */
	UPSTREAM_ANSWER_MALFORMED,

	/** The upstream's answer belongs to another attempt. */
	UPSTREAM_ANSWER_MISMATCHED,

	/** The upstream's answer exceeds the bound. */
	UPSTREAM_ANSWER_TOO_LARGE,

	/** The upstream failed, and may have run the request before. */
	UPSTREAM_FAILED,

	/** Every upstream holds as much work as it can finish in time. */
	UPSTREAMS_FULL,

	/** The daemon is shutting down. */
	SHUTTING_DOWN,

	/** The daemon holds no catalogue yet. */
	NOT_READY,

	/** The daemon could not confirm lately that the API keys are still valid. */
	KEYS_UNCONFIRMED,

	/** The operator's token is missing or wrong. */
	OPERATOR_UNAUTHORIZED,

	/** The catalogue entry was changed by somebody else. */
	CATALOGUE_CONFLICT,

	/** The catalogue entry fails its checks. */
	CATALOGUE_INVALID,

	/** No catalogue entry has this name. */
	CATALOGUE_ENTRY_UNKNOWN,

	/** The store gave no answer to a catalogue write and to the read that followed. */
	CATALOGUE_WRITE_UNKNOWN,

	/** The store is unavailable or the call budget is spent. */
	STORE_UNAVAILABLE,

	/** The store does not hold the changes that were asked for any more. */
	STORE_HISTORY_LOST,

	/** The settings fail their checks. */
	SETTINGS_INVALID,

	/** The command line is wrong. */
	USAGE,

	/** A fault of the daemon itself. */
	INTERNAL;

	private final String code = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * Returns the spelling used in answers, logs and metrics.
	 * @return the code, in lower case with hyphens
	 */
	public String code() {
		return this.code;
	}

}
