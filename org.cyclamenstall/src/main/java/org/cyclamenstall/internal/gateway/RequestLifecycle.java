package org.cyclamenstall.internal.gateway;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Moves a request through its states by compare-and-set. {@link RequestState#ENDED} is
 * final: a request that was answered is never sent afterwards. Thread-safe.
 */
final class RequestLifecycle {

	private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.RECEIVED);

	/**
	 * Moves to a state, unless the request has ended.
	 * @param target the state, not {@code ENDED}
	 * @return {@code false} if the request has ended
	 */
	boolean moveTo(RequestState target) {
		RequestState before = this.state.getAndUpdate((at) -> (at != RequestState.ENDED) ? target : at);
		return before != RequestState.ENDED;
	}

	/**
	 * Ends the request.
	 * @return the state before; {@code ENDED} if it had ended already
	 */
	RequestState end() {
		return this.state.getAndSet(RequestState.ENDED);
	}

	/**
	 * Returns the state.
	 * @return the state
	 */
	RequestState state() {
		return this.state.get();
	}

}
