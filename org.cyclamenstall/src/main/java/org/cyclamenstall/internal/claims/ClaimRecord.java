package org.cyclamenstall.internal.claims;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cyclamenstall.claims.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Holds one claim as it is kept in the store. Immutable; the array of the answer must not
 * be changed.
 *
 * @param account the name of the client account
 * @param entry the name of the catalogue entry
 * @param bodyHash the hash of method, path and body
 * @param host the name of the claimant's host
 * @param incarnation the incarnation of the claimant
 * @param attempt the attempt that claimed
 * @param claimedAtMillis the time of the claim, in milliseconds since the epoch
 * @param outcome what became of it
 * @param answer the answer of a completed request, or {@code null} if it is not kept
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ClaimRecord(String account, String entry, String bodyHash, String host, long incarnation, String attempt,
		long claimedAtMillis, ClaimOutcome outcome, @Nullable StoredAnswer answer) {

	private static final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	ClaimRecord withOutcome(ClaimOutcome newOutcome, @Nullable StoredAnswer newAnswer) {
		return new ClaimRecord(this.account, this.entry, this.bodyHash, this.host, this.incarnation, this.attempt,
				this.claimedAtMillis, newOutcome, newAnswer);
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
