package org.cyclamenstall.events;

/**
 * Receives events. Thread-safe; never blocks and never throws.
 */
@FunctionalInterface
public interface EventLog {

	/** Discards all events. */
	EventLog NONE = (event) -> {
	};

	/**
	 * Records an event, or drops it if there are too many of its type.
	 * @param event the event
	 */
	void record(Event event);

}
