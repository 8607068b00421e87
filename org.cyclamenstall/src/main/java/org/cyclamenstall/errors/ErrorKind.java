package org.cyclamenstall.errors;

import java.util.Locale;

/**
 * Enumerates the kinds of error that are reported to callers and operators.
 * {@link ErrorTable} is the only place that maps a kind to its response.
 */
public enum ErrorKind {

	/** The request is malformed. */
	MALFORMED_REQUEST,

	/** The API key is missing or unknown. */
	UNKNOWN_API_KEY,

	/** The client account is not permitted to call this catalogue entry. */
	ENTRY_FORBIDDEN,

	/** No catalogue entry matches the model or path of the request. */
	UNKNOWN_ROUTE,

	/** The path does not support the method. */
	METHOD_NOT_ALLOWED,

	/** The request body exceeds the limit of the catalogue entry or of the daemon. */
	BODY_TOO_LARGE,

	/** The bodies of other requests take the memory that is set aside for bodies. */
	BODY_MEMORY_EXHAUSTED,

	/** The request body was not received in time. */
	REQUEST_READ_TIMEOUT,

	/** The catalogue entry requires an idempotency key and none was sent. */
	IDEMPOTENCY_KEY_REQUIRED,

	/** The idempotency key was already used with a different body. */
	IDEMPOTENCY_KEY_REUSED,

	/** A request with this idempotency key is still in progress. */
	IDEMPOTENCY_IN_PROGRESS,

	/** An earlier request with this idempotency key may have been executed. */
	IDEMPOTENCY_OUTCOME_UNKNOWN,

	/** The request with this key was executed; its response was too large to retain. */
	IDEMPOTENCY_ANSWER_NOT_KEPT,

	/** The claim of the idempotency key could not be recorded in the store. */
	CLAIM_STORE_UNAVAILABLE,

	/** The claim exceeded its maximum age, for example after a pause of the daemon. */
	CLAIM_EXPIRED,

	/** The limit on requests per second was exceeded. */
	REQUEST_RATE_LIMITED,

	/** The limit on concurrent requests was exceeded. */
	CONCURRENCY_LIMITED,

	/** The limit on tokens per second was exceeded. */
	TOKEN_RATE_LIMITED,

	/** The queue of the tier is full. */
	QUEUE_FULL,

	/** The queued request was shed in favour of a request of a higher tier. */
	SHED,

	/** The request cannot be completed before its deadline. */
	DEADLINE_UNREACHABLE,

	/** The deadline passed while the request was queued. */
	DEADLINE_EXCEEDED,

	/** No live upstream serves the entry. */
	NO_LIVE_UPSTREAM,

	/** No attempt could connect to an upstream. */
	UPSTREAM_UNREACHABLE,

	/** The upstream reported that it did not execute the request. */
	UPSTREAM_REFUSED,

	/** The upstream did not respond in time. */
	UPSTREAM_TIMEOUT,

	/** The connection to the upstream was closed before the response was complete. */
	UPSTREAM_CONNECTION_LOST,

	/** The response of the upstream is malformed. */
	UPSTREAM_ANSWER_MALFORMED,

	/** The response of the upstream belongs to another attempt. */
	UPSTREAM_ANSWER_MISMATCHED,

	/** The response of the upstream exceeds the size limit. */
	UPSTREAM_ANSWER_TOO_LARGE,

	/** The upstream failed and may have executed the request. */
	UPSTREAM_FAILED,

	/** No upstream has capacity to complete the request in time. */
	UPSTREAMS_FULL,

	/** A part of the prompt crashes upstreams and is quarantined. */
	PROMPT_QUARANTINED,

	/** The daemon is shutting down. */
	SHUTTING_DOWN,

	/** The daemon has not loaded a catalogue or route table yet. */
	NOT_READY,

	/** The daemon could not recently confirm that the API keys are still valid. */
	KEYS_UNCONFIRMED,

	/** The operator token is missing or wrong. */
	OPERATOR_UNAUTHORIZED,

	/** The catalogue entry was changed by a concurrent edit. */
	CATALOGUE_CONFLICT,

	/** The catalogue entry is invalid. */
	CATALOGUE_INVALID,

	/** No catalogue entry has this name. */
	CATALOGUE_ENTRY_UNKNOWN,

	/** The store responded neither to a catalogue write nor to the read after it. */
	CATALOGUE_WRITE_UNKNOWN,

	/** The store is unavailable or the store call budget is exhausted. */
	STORE_UNAVAILABLE,

	/** The store no longer retains the requested changes. */
	STORE_HISTORY_LOST,

	/** The settings are invalid. */
	SETTINGS_INVALID,

	/** The command line is invalid. */
	USAGE,

	/** An internal error of the daemon. */
	INTERNAL;

	private final String code = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * Returns the code used in responses, logs and metrics.
	 * @return the name of the kind in lower case with hyphens
	 */
	public String code() {
		return this.code;
	}

}
