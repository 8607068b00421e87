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
 * Describes one catalogue entry as an operator writes it. Which components may be set
 * depends on the kind. Immutable.
 *
 * @param name the unique name
 * @param kind what the entry describes
 * @param owner who answers for the entry
 * @param tier the class of service; for an account the highest class that it may use
 * @param limits the bounds across all daemons
 * @param upstreams the name of the upstream service in the platform's host list (model
 * and service entries)
 * @param model the model name in requests (model entries)
 * @param firstTokenSeconds the target for the first token, in seconds (model entries)
 * @param tokenGapSeconds the target between tokens, in seconds (model entries)
 * @param resumable whether the upstreams resume a cancelled stream (model entries)
 * @param pathPrefix the path prefix of requests, with a leading slash (service entries)
 * @param idempotentMethods the methods that may be repeated (service entries); a model
 * entry is idempotent, a service entry is not unless it says so here
 * @param idempotencyKey whether other methods must carry an idempotency key (service
 * entries)
 * @param notExecutedStatuses the statuses by which an upstream declares that it did not
 * execute a request (service entries)
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
		@Nullable KeyRequirement idempotencyKey, @Nullable Set<Integer> notExecutedStatuses,
		@Nullable @Size(min = 1, max = 16) List<@Pattern(regexp = "[0-9a-f]{64}") String> keyHashes,
		@Nullable @Size(min = 1, max = 1024) Set<String> entries) {

	/**
	 * Returns the limits, which are {@link Limits#NONE} if none are written.
	 * @return the limits
	 */
	public Limits effectiveLimits() {
		return (this.limits != null) ? this.limits : Limits.NONE;
	}

	/**
	 * Returns whether a request of this method may be repeated.
	 * @param method the HTTP method
	 * @return {@code true} if it is idempotent
	 */
	public boolean isIdempotent(String method) {
		if (this.kind == EntryKind.MODEL) {
			return true;
		}
		return this.idempotentMethods != null && this.idempotentMethods.contains(method);
	}

}
