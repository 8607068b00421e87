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
 * Maps the paths of the fields of a document to their line numbers. Not thread-safe.
 */
final class YamlLineIndex {

	private final Map<String, Integer> linesByPath = new HashMap<>();

	/**
	 * Reads a document to its end.
	 * @param parser the parser, at the start of the document
	 * @return the line numbers of its fields
	 * @throws IOException if the document is malformed
	 */
	static YamlLineIndex read(JsonParser parser) throws IOException {
		YamlLineIndex index = new YamlLineIndex();
		while (parser.nextToken() != null) {
			if (parser.currentToken() == JsonToken.FIELD_NAME || parser.getParsingContext().inArray()) {
				index.linesByPath.putIfAbsent(path(parser.getParsingContext()),
						parser.currentTokenLocation().getLineNr());
			}
		}
		return index;
	}

	/**
	 * Returns whether the document has no fields.
	 * @return {@code true} if it has none
	 */
	boolean isEmpty() {
		return this.linesByPath.isEmpty();
	}

	/**
	 * Returns the line of a field, or of its nearest enclosing field that is present.
	 * @param path the path of the field, separated by dots
	 * @return the line number, from 1; 1 if no such field is present
	 */
	int lineOf(String path) {
		for (String ancestor = path; !ancestor.isEmpty(); ancestor = parent(ancestor)) {
			Integer line = this.linesByPath.get(ancestor);
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
		for (JsonStreamContext ancestor = context; ancestor != null; ancestor = ancestor.getParent()) {
			if (ancestor.inArray()) {
				parts.push("[" + Math.max(0, ancestor.getCurrentIndex()) + "]");
			}
			else if (ancestor.getCurrentName() != null) {
				parts.push("." + ancestor.getCurrentName());
			}
		}
		String joined = String.join("", parts);
		return joined.startsWith(".") ? joined.substring(1) : joined;
	}

}
