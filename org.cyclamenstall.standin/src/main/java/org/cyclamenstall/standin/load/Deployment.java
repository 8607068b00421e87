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
 * Describes a deployment and its usual demand as written in YAML. Immutable.
 *
 * @param region the region; failure domains are named after it
 * @param balancerWeights the shares of the daemons in the arrivals, one for each
 * @param engines the engines
 * @param services the plain services
 * @param entries the model and service entries
 * @param accounts the client accounts
 * @param classes the classes of requests
 */
public record Deployment(@NotNull String region, @NotNull @NotEmpty List<@DecimalMin("0") Double> balancerWeights,
		@NotNull @Valid Group engines, @NotNull @Valid Group services,
		@NotNull @NotEmpty List<@Valid CatalogueEntry> entries, @NotNull @NotEmpty List<@Valid Account> accounts,
		@NotNull @NotEmpty List<@Valid RequestClass> classes) {

	/**
	 * Returns this deployment with other accounts and classes.
	 * @param otherAccounts the accounts
	 * @param otherClasses the classes
	 * @return the deployment
	 */
	Deployment with(List<Account> otherAccounts, List<RequestClass> otherClasses) {
		return new Deployment(this.region, this.balancerWeights, this.engines, this.services, this.entries,
				otherAccounts, otherClasses);
	}

	/**
	 * Describes the upstreams of one service. Immutable.
	 *
	 * @param service the name of the service in the host list
	 * @param number the number of upstreams
	 * @param options the size and speed of each, if they are engines
	 */
	public record Group(@NotNull String service, @NotNull @Min(1) @Max(200) Integer number,
			@NotNull @Valid EngineOptions options) {

		/**
		 * Fills in the defaults.
		 */
		public Group {
			options = (options != null) ? options : EngineOptions.DEFAULTS;
		}

	}

	/**
	 * Describes a client account. Immutable.
	 *
	 * @param name the name
	 * @param weight its share of the requests, against the weights of the others
	 * @param limits its limits
	 */
	public record Account(@NotNull String name, @NotNull @DecimalMin("0") Double weight,
			@Nullable @Valid Limits limits) {

	}

	/**
	 * Describes a class of requests. Immutable.
	 *
	 * @param name the name
	 * @param model the model, if it is a chat completion
	 * @param path the path, if it is a request to a plain service
	 * @param method the method of a request to a plain service
	 * @param requestsPerSecond the requests per second without swings
	 * @param targetSeconds the target for the first token or the whole answer of a plain
	 * service, in seconds
	 * @param medianTokens the median length of an answer, in tokens
	 * @param tokensSigma the standard deviation of the logarithm of the length
	 * @param maximumTokens the bound that the caller sets on the length, in tokens
	 * @param promptTokens the length of the part of the prompt that differs, in tokens
	 * @param sharedPromptTokens the length of the beginning that all prompts of the class
	 * share, in tokens
	 */
	public record RequestClass(@NotNull String name, @Nullable String model, @Nullable String path,
			@NotNull String method, @NotNull @DecimalMin("0") Double requestsPerSecond,
			@NotNull @DecimalMin("0.001") Double targetSeconds, @NotNull @Min(1) Integer medianTokens,
			@NotNull @DecimalMin("0") Double tokensSigma, @NotNull @Min(1) Integer maximumTokens,
			@NotNull @Min(1) Integer promptTokens, @NotNull @Min(0) Integer sharedPromptTokens) {

		/**
		 * Fills in the defaults.
		 */
		public RequestClass {
			method = (method != null) ? method : "POST";
			medianTokens = (medianTokens != null) ? medianTokens : Integer.valueOf(1);
			tokensSigma = (tokensSigma != null) ? tokensSigma : Double.valueOf(0);
			maximumTokens = (maximumTokens != null) ? maximumTokens : Integer.valueOf(1);
			promptTokens = (promptTokens != null) ? promptTokens : Integer.valueOf(1);
			sharedPromptTokens = (sharedPromptTokens != null) ? sharedPromptTokens : Integer.valueOf(0);
		}

		RequestClass withRate(double otherRequestsPerSecond) {
			return new RequestClass(this.name, this.model, this.path, this.method, otherRequestsPerSecond,
					this.targetSeconds, this.medianTokens, this.tokensSigma, this.maximumTokens, this.promptTokens,
					this.sharedPromptTokens);
		}

		boolean isChat() {
			return this.model != null;
		}

	}

}
