package org.cyclamenstall.internal.claims;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cyclamenstall.claims.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * A claim as written to the configuration store. Immutable; the array of the response
 * must not be modified.
 *
 * @param account the name of the client account
 * @param entry the name of the catalogue entry
 * @param bodyHash the hash of method, path with query, and body
 * @param host the name of the claimant's host
 * @param incarnation the incarnation of the claimant
 * @param attempt the identifier of the attempt that made the claim
 * @param claimedAtMillis the time of the claim, in milliseconds since the epoch
 * @param outcome the state of the claim
 * @param answer the response to a completed request, or {@code null} if it is not
 * retained or the request is not completed
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ClaimRecord(String account, String entry, String bodyHash, String host, long incarnation, String attempt,
		long claimedAtMillis, ClaimOutcome outcome, @Nullable StoredResponse answer) {

	private static final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	ClaimRecord withOutcome(ClaimOutcome newOutcome, @Nullable StoredResponse newResponse) {
		return new ClaimRecord(this.account, this.entry, this.bodyHash, this.host, this.incarnation, this.attempt,
				this.claimedAtMillis, newOutcome, newResponse);
	}

	byte[] toBytes() {
		try {
			return mapper.writeValueAsBytes(this);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static ClaimRecord parse(byte[] value) throws IOException {
		return mapper.readValue(value, ClaimRecord.class);
	}

}
