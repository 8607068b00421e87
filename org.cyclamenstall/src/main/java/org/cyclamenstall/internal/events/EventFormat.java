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
final class EventFormat {

	private final Map<Class<?>, Shape> shapes = new ConcurrentHashMap<>();

	/**
	 * Formats an event.
	 * @param event the event
	 * @return the fields, without braces
	 */
	String fields(Event event) {
		Shape shape = this.shapes.computeIfAbsent(event.getClass(), (type) -> Shape.of(event));
		StringBuilder line = new StringBuilder(256).append("\"event\":\"").append(shape.type()).append('"');
		for (RecordComponent component : shape.components()) {
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
			throw new IllegalStateException("The field " + component.getName() + " cannot be read", ex);
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
	 * Holds what all events of a type share.
	 *
	 * @param type the name of the type
	 * @param components its fields
	 */
	private record Shape(String type, RecordComponent[] components) {

		static Shape of(Event event) {
			return new Shape(event.type(), event.getClass().getRecordComponents());
		}

	}

}
