package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A response of the operator API. Immutable.
 *
 * @param status the HTTP status code; 0 if the daemon refused the connection
 * @param body the response body; the error message if the daemon refused the connection
 */
public record OperatorResponse(int status, String body) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses the body as JSON.
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
	 * Returns whether the request succeeded.
	 * @return {@code true} for a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
