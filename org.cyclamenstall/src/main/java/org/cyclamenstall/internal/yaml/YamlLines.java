package org.cyclamenstall.internal.yaml;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Maps the path of each field of a document to the line that it stands on. Not
 * thread-safe.
 */
final class YamlLines {

	private final Map<String, Integer> linesByPath = new HashMap<>();

	/**
	 * Reads a document to its end.
	 * @param parser the parser at the start of the document
	 * @return the lines
	 * @throws IOException if the document is not well-formed
	 */
	static YamlLines read(JsonParser parser) throws IOException {
		YamlLines lines = new YamlLines();
		while (parser.nextToken() != null) {
			if (parser.currentToken() == JsonToken.FIELD_NAME || parser.getParsingContext().inArray()) {
				lines.linesByPath.putIfAbsent(path(parser.getParsingContext()),
						parser.currentTokenLocation().getLineNr());
			}
		}
		return lines;
	}

	/**
	 * Returns whether the document has no field.
	 * @return {@code true} if there is none
	 */
	boolean isEmpty() {
		return this.linesByPath.isEmpty();
	}

	/**
	 * Returns the line of a field, or of the nearest field around it.
	 * @param path the path of the field, with dots
	 * @return the line, from 1
	 */
	int lineOf(String path) {
		for (String rest = path; !rest.isEmpty(); rest = parent(rest)) {
			Integer line = this.linesByPath.get(rest);
			if (line != null) {
				return line;
			}
		}
		return 1;
	}

	private static String parent(String path) {
		int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
		return (end < 0) ? "" : path.substring(0, end);
	}

	private static String path(JsonStreamContext context) {
		Deque<String> parts = new ArrayDeque<>();
		for (JsonStreamContext at = context; at != null; at = at.getParent()) {
			if (at.inArray()) {
				parts.push("[" + Math.max(0, at.getCurrentIndex()) + "]");
			}
			else if (at.getCurrentName() != null) {
				parts.push("." + at.getCurrentName());
			}
		}
		String joined = String.join("", parts);
		return joined.startsWith(".") ? joined.substring(1) : joined;
	}

}
