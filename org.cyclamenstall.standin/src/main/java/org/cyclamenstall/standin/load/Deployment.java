package org.cyclamenstall.standin.load;

import java.util.List;

import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.jspecify.annotations.Nullable;

/**
 * Describes a deployment and its base demand. Read from YAML; immutable.
 *
 * @param region the region, also the prefix of the failure domain names
 * @param balancerWeights the balancer weight of each daemon; the size of the list is the
 * number of daemons
 * @param engines the model engines
 * @param services the instances of the plain service
 * @param entries the catalogue entries of models and services
 * @param accounts the client accounts
 * @param classes the request classes
 */
public record Deployment(@NotNull String region, @NotNull @NotEmpty List<@DecimalMin("0") Double> balancerWeights,
		@NotNull @Valid Group engines, @NotNull @Valid Group services,
		@NotNull @NotEmpty List<@Valid CatalogueEntry> entries, @NotNull @NotEmpty List<@Valid Account> accounts,
		@NotNull @NotEmpty List<@Valid RequestClass> classes) {

	/**
	 * Returns a copy of this deployment with other accounts and classes.
	 * @param otherAccounts the accounts
	 * @param otherClasses the classes
	 * @return the copy
	 */
	Deployment withDemand(List<Account> otherAccounts, List<RequestClass> otherClasses) {
		return new Deployment(this.region, this.balancerWeights, this.engines, this.services, this.entries,
				otherAccounts, otherClasses);
	}

	/**
	 * Describes the upstreams of one service. Immutable.
	 *
	 * @param service the name of the service in the host list
	 * @param number the number of upstreams
	 * @param options the capacity and speed of each upstream; used for engines only
	 */
	public record Group(@NotNull String service, @NotNull @Min(1) @Max(200) Integer number,
			@NotNull @Valid EngineOptions options) {

		/**
		 * Replaces {@code null} by the defaults.
		 */
		public Group {
			options = (options != null) ? options : EngineOptions.DEFAULTS;
		}

	}

	/**
	 * Describes a client account. Immutable.
	 *
	 * @param name the name
	 * @param weight the weight that determines the share of requests, relative to the
	 * weights of the other accounts
	 * @param limits the limits of the account; {@code null} for none
	 */
	public record Account(@NotNull String name, @NotNull @DecimalMin("0") Double weight,
			@Nullable @Valid Limits limits) {

	}

	/**
	 * Describes a class of requests. Immutable.
	 *
	 * @param name the name
	 * @param model the model of a chat completion; {@code null} for a request to a plain
	 * service
	 * @param path the path of a request to a plain service
	 * @param method the HTTP method of a request to a plain service
	 * @param requestsPerSecond the request rate outside of swings, per second
	 * @param targetSeconds the latency target for the first token, or for the complete
	 * response of a plain service, in seconds
	 * @param medianTokens the median length of a response, in tokens
	 * @param tokensSigma the standard deviation of the natural logarithm of the length
	 * @param maximumTokens the maximum response length that the caller requests, in
	 * tokens
	 * @param promptTokens the length of the part of the prompt that differs between
	 * requests, in tokens
	 * @param sharedPromptTokens the length of the prompt prefix shared by all requests of
	 * the class, in tokens
	 */
	public record RequestClass(@NotNull String name, @Nullable String model, @Nullable String path,
			@NotNull String method, @NotNull @DecimalMin("0") Double requestsPerSecond,
			@NotNull @DecimalMin("0.001") Double targetSeconds, @NotNull @Min(1) Integer medianTokens,
			@NotNull @DecimalMin("0") Double tokensSigma, @NotNull @Min(1) Integer maximumTokens,
			@NotNull @Min(1) Integer promptTokens, @NotNull @Min(0) Integer sharedPromptTokens) {

		/**
		 * Replaces {@code null} by the defaults.
		 */
		public RequestClass {
			method = (method != null) ? method : "POST";
			medianTokens = (medianTokens != null) ? medianTokens : Integer.valueOf(1);
			tokensSigma = (tokensSigma != null) ? tokensSigma : Double.valueOf(0);
			maximumTokens = (maximumTokens != null) ? maximumTokens : Integer.valueOf(1);
			promptTokens = (promptTokens != null) ? promptTokens : Integer.valueOf(1);
			sharedPromptTokens = (sharedPromptTokens != null) ? sharedPromptTokens : Integer.valueOf(0);
		}

		RequestClass withRate(double newRequestsPerSecond) {
			return new RequestClass(this.name, this.model, this.path, this.method, newRequestsPerSecond,
					this.targetSeconds, this.medianTokens, this.tokensSigma, this.maximumTokens, this.promptTokens,
					this.sharedPromptTokens);
		}

		boolean isChat() {
			return this.model != null;
		}

	}

}
