package org.cyclamenstall.events;

/**
 * Takes events. Thread-safe; never blocks and never fails.
 */
@FunctionalInterface
public interface EventLog {

	/** Takes events and keeps none. */
	EventLog NONE = (event) -> {
	};

	/**
	 * Records an event, unless there are more of its type than may be kept.
	 * @param event the event
	 */
	void record(Event event);

}
