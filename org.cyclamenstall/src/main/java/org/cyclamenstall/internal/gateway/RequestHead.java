package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.policy.PromptShape;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the head of a routed request says. Immutable.
 *
 * @param virtualHost the host name that it carries, without a port
 * @param path the path, without the query
 * @param apiKey the API key, or {@code null} if there is none
 * @param timeLeft how long the caller will wait, or {@code null} if it does not say
 * @param prompt the size and content of a model request
 */
public record RequestHead(String virtualHost, String path, @Nullable String apiKey, @Nullable Duration timeLeft,
		PromptShape prompt) {

}
