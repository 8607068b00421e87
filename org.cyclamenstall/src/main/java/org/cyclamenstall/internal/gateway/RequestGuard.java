package org.cyclamenstall.internal.gateway;

import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the steps of one request, so that none of them can end without a response to the
 * caller, whatever it throws. Used on the I/O thread of the exchange.
 */
final class RequestGuard {

	private static final Logger logger = LogManager.getLogger(RequestGuard.class);

	private final String requestId;

	private final Runnable onFailure;

	/**
	 * Creates a guard.
	 * @param requestId the request identifier
	 * @param onFailure called when a step throws; makes sure that the request is answered
	 */
	RequestGuard(String requestId, Runnable onFailure) {
		this.requestId = requestId;
		this.onFailure = onFailure;
	}

	/**
	 * Runs a step of the request; each task, timer and notification enters through this
	 * method.
	 * @param step the step
	 */
	void run(Runnable step) {
		decide(() -> {
			step.run();
			return true;
		}, false);
	}

	/**
	 * Runs a step of the request that decides something.
	 * @param step the step
	 * @param decisionAfterFailure the decision if the step throws
	 * @return the decision
	 * @see #run(Runnable)
	 */
	boolean decide(BooleanSupplier step, boolean decisionAfterFailure) {
		try {
			return step.getAsBoolean();
		}
		catch (RuntimeException | Error ex) {
			logger.error("A step of request {} failed", this.requestId, ex);
			this.onFailure.run();
			return decisionAfterFailure;
		}
	}

	/**
	 * Runs an action on which the response does not depend, and only logs what it throws.
	 * @param action the action
	 */
	void tolerate(Runnable action) {
		tolerate(() -> {
			action.run();
			return true;
		}, false);
	}

	/**
	 * Runs an action with a result, and only logs what it throws.
	 * @param action the action
	 * @param resultAfterFailure the result if the action throws
	 * @return the result
	 */
	boolean tolerate(BooleanSupplier action, boolean resultAfterFailure) {
		try {
			return action.getAsBoolean();
		}
		catch (RuntimeException | Error ex) {
			logger.error("An action of request {} failed; the request goes on", this.requestId, ex);
			return resultAfterFailure;
		}
	}

}
