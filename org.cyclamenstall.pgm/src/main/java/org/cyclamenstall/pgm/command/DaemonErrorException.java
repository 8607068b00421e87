package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Thrown if the daemon responds with an error. Carries the error object of the response.
 */
final class DaemonErrorException extends RouterException {

	private final transient JsonNode error;

	DaemonErrorException(ErrorKind kind, JsonNode error) {
		super(kind, error.path("message").asText("the daemon responded with an error"));
		this.error = error;
	}

	JsonNode error() {
		return this.error;
	}

}
