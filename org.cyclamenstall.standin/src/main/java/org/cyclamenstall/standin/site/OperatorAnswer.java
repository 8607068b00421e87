package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Holds the answer of an operators' port. Immutable.
 *
 * @param status the HTTP status; 0 if the daemon cannot be reached
 * @param body the body
 */
public record OperatorAnswer(int status, String body) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses the body.
	 * @return the JSON document
	 */
	public JsonNode json() {
		try {
			return MAPPER.readTree(this.body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns whether the daemon accepted what it was asked.
	 * @return {@code true} for a status from 200 to 299
	 */
	public boolean isAccepted() {
		return this.status >= 200 && this.status < 300;
	}

}
