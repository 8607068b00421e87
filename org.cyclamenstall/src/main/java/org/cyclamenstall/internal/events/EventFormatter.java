package org.cyclamenstall.internal.events;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.cyclamenstall.events.Event;

/**
 * Formats an event as the fields of one JSON object. Thread-safe.
 */
final class EventFormatter {

	private final Map<Class<?>, EventType> eventTypes = new ConcurrentHashMap<>();

	/**
	 * Formats an event. Fields that are {@code null} are omitted, and fractional numbers
	 * are rounded to three decimal places.
	 * @param event the event
	 * @return the fields, without braces
	 */
	String formatFields(Event event) {
		EventType eventType = this.eventTypes.computeIfAbsent(event.getClass(), (eventClass) -> EventType.of(event));
		StringBuilder line = new StringBuilder(256).append("\"event\":\"").append(eventType.name()).append('"');
		for (RecordComponent component : eventType.components()) {
			Object value = valueOf(component, event);
			if (value != null) {
				line.append(",\"").append(component.getName()).append("\":");
				append(line, value);
			}
		}
		return line.toString();
	}

	private static Object valueOf(RecordComponent component, Event event) {
		try {
			return component.getAccessor().invoke(event);
		}
		catch (IllegalAccessException | InvocationTargetException ex) {
			throw new IllegalStateException("Event field " + component.getName() + " cannot be read", ex);
		}
	}

	private static void append(StringBuilder line, Object value) {
		if (value instanceof String text) {
			line.append('"');
			JsonStringEncoder.getInstance().quoteAsString(text, line);
			line.append('"');
		}
		else if (value instanceof Double number) {
			line.append(Math.round(number * 1_000) / 1_000.0);
		}
		else {
			line.append(value);
		}
	}

	/**
	 * Name and fields of an event type.
	 *
	 * @param name the name of the type
	 * @param components the fields of the type
	 */
	private record EventType(String name, RecordComponent[] components) {

		static EventType of(Event event) {
			return new EventType(event.type(), event.getClass().getRecordComponents());
		}

	}

}
