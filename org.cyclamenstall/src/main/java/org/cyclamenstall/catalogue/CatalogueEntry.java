package org.cyclamenstall.catalogue;

import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import org.jspecify.annotations.Nullable;

/**
 * A catalogue entry as submitted by an operator. The kind determines which components may
 * be set. Immutable.
 *
 * @param name the unique name
 * @param kind the kind of the entry
 * @param owner the person or team responsible for the entry
 * @param tier the class of service; for an account, the highest class that it may use
 * @param limits the limits enforced across all daemons
 * @param upstreams the name of the upstream service in the platform's host list (model
 * and service entries)
 * @param model the model name in requests (model entries)
 * @param firstTokenSeconds the target time to the first token, in seconds (model entries)
 * @param tokenGapSeconds the target time between two tokens, in seconds (model entries)
 * @param resumable whether the upstreams can resume a cancelled stream (model entries)
 * @param pathPrefix the path prefix of requests, with a leading slash (service entries)
 * @param idempotentMethods the idempotent HTTP methods, whose requests may be retried
 * (service entries); none if absent; requests to model entries are always idempotent
 * @param idempotencyKey whether requests with other methods must carry an idempotency key
 * (service entries)
 * @param notExecutedStatuses the status codes with which an upstream declares that it did
 * not execute a request (service entries)
 * @param keyHashes SHA-256 hashes of the API keys, in lower-case hexadecimal (account
 * entries)
 * @param entries the names of the entries that the account may call (account entries)
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record CatalogueEntry(@NotNull @Pattern(regexp = "[a-z0-9][a-z0-9-]{0,62}") String name, @NotNull EntryKind kind,
		@NotNull @Size(min = 1, max = 128) String owner, @JsonProperty("class") @NotNull Tier tier,
		@Nullable @Valid Limits limits, @Nullable @Pattern(regexp = "[a-z0-9][a-z0-9-]{0,62}") String upstreams,
		@Nullable @Size(min = 1, max = 128) String model,
		@Nullable @DecimalMin("0.001") @DecimalMax("3600") Double firstTokenSeconds,
		@Nullable @DecimalMin("0.001") @DecimalMax("60") Double tokenGapSeconds, @Nullable Boolean resumable,
		@Nullable @Pattern(regexp = "/[A-Za-z0-9_./-]{0,127}") String pathPrefix,
		@Nullable Set<@Pattern(regexp = "GET|HEAD|PUT|POST|DELETE|PATCH|OPTIONS") String> idempotentMethods,
		@Nullable IdempotencyKeyRequirement idempotencyKey, @Nullable Set<Integer> notExecutedStatuses,
		@Nullable @Size(min = 1, max = 16) List<@Pattern(regexp = "[0-9a-f]{64}") String> keyHashes,
		@Nullable @Size(min = 1, max = 1024) Set<String> entries) {

	/**
	 * Returns the limits, or {@link Limits#NONE} if the entry sets none.
	 * @return the limits
	 */
	public Limits effectiveLimits() {
		return (this.limits != null) ? this.limits : Limits.NONE;
	}

	/**
	 * Returns whether requests with an HTTP method may be retried.
	 * @param method the HTTP method
	 * @return {@code true} if such requests are idempotent
	 */
	public boolean isIdempotent(String method) {
		if (this.kind == EntryKind.MODEL) {
			return true;
		}
		return this.idempotentMethods != null && this.idempotentMethods.contains(method);
	}

}
