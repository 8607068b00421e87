package org.cyclamenstall.events;

/**
 * Records the events of a daemon for its operators. Thread-safe; never blocks and never
 * throws.
 */
@FunctionalInterface
public interface EventLog {

	/** Discards all events. */
	EventLog NONE = (event) -> {
	};

	/**
	 * Records an event. An implementation may drop events to limit their number.
	 * @param event the event
	 */
	void record(Event event);

}
