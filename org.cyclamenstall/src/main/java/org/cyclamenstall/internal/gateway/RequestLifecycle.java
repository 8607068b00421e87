package org.cyclamenstall.internal.gateway;

import java.util.concurrent.atomic.AtomicReference;

/**
 * State machine of a request. {@link RequestState#ENDED} is final, so a request is never
 * sent to an upstream after its response. Thread-safe.
 */
final class RequestLifecycle {

	private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.RECEIVED);

	/**
	 * Moves to a state, unless the request has ended.
	 * @param target the state, not {@code ENDED}
	 * @return {@code false} if the request has ended
	 */
	boolean moveTo(RequestState target) {
		RequestState previous = this.state
			.getAndUpdate((current) -> (current != RequestState.ENDED) ? target : current);
		return previous != RequestState.ENDED;
	}

	/**
	 * Ends the request.
	 * @return the previous state; {@code ENDED} if the request had already ended
	 */
	RequestState end() {
		return this.state.getAndSet(RequestState.ENDED);
	}

	RequestState state() {
		return this.state.get();
	}

}
