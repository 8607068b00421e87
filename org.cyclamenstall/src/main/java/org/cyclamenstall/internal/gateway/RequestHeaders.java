package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.policy.PromptShape;
import org.jspecify.annotations.Nullable;

/**
 * Decoded headers of a routed request. Immutable.
 *
 * @param virtualHost the requested host name, without a port
 * @param path the path, without the query
 * @param apiKey the API key, or {@code null} if there is none
 * @param remainingTime how long the caller still waits for the response, or {@code null}
 * if the caller does not specify it
 * @param prompt the size and prefix of the prompt of a model request
 */
public record RequestHeaders(String virtualHost, String path, @Nullable String apiKey, @Nullable Duration remainingTime,
		PromptShape prompt) {

}
