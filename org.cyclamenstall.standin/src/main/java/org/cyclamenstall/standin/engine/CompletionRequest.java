package org.cyclamenstall.standin.engine;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.standin.http.Json;

/**
 * The properties that an engine reads from the body of a request. The text and the length
 * of the response depend only on the body and the {@link EngineOptions}, so that engines
 * with the same options return the same response. Immutable.
 *
 * @param prompt the prompt
 * @param stream whether the response is streamed
 * @param tokens the length of the response, in tokens
 * @param seed the hash of the body, from which the tokens are derived
 */
record CompletionRequest(String prompt, boolean stream, int tokens, long seed) {

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int VOCABULARY_SIZE = 1_000;

	static CompletionRequest parse(byte[] body, EngineOptions options) throws IOException {
		JsonNode json = Json.readTree(body);
		if (!json.isObject() || !json.path("messages").isArray()) {
			throw new IOException("the array of messages is missing");
		}
		StringBuilder prompt = new StringBuilder();
		json.path("messages").forEach((message) -> prompt.append(message.path("content").asText()).append('\n'));
		long seed = MurmurHash3.hash128x64(body)[0];
		int maximumTokens = Math.min(options.maximumTokens(), json.path("max_tokens").asInt(Integer.MAX_VALUE));
		int requestedTokens = json.path("standin_tokens").asInt(0);
		int tokens = (requestedTokens > 0) ? requestedTokens : sampleTokens(seed, options);
		return new CompletionRequest(prompt.toString(), json.path("stream").asBoolean(),
				Math.max(1, Math.min(maximumTokens, tokens)), seed);
	}

	int promptTokens() {
		return 1 + this.prompt.length() / CHARACTERS_PER_TOKEN;
	}

	int uncachedTokens(int cachedCharacters) {
		return 1 + (this.prompt.length() - cachedCharacters) / CHARACTERS_PER_TOKEN;
	}

	String token(int index) {
		return "w" + Math.floorMod(MurmurHash3.hash32(this.seed, index, 0), VOCABULARY_SIZE) + " ";
	}

	private static int sampleTokens(long seed, EngineOptions options) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
		return (int) Math.round(options.medianTokens() * Math.exp(options.tokensSigma() * normal));
	}

}
