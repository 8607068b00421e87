package org.cyclamenstall.standin;

import java.util.List;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.jspecify.annotations.Nullable;

/**
 * Holds the checked settings of a process of stand-ins. Immutable.
 *
 * @param standins the stand-ins to start
 */
public record StandinSettings(@NotNull @NotEmpty List<@Valid Item> standins) {

	/**
	 * Holds the settings of one stand-in. Immutable.
	 *
	 * @param name the name, which is also the name of its host
	 * @param kind what it stands in for
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 * @param controlPort the TCP port of control requests; 0 takes a free one
	 * @param service the service under which host lists of the same process list it
	 * @param failureDomain the failure domain of its host
	 * @param engine the size and speed of an engine
	 * @param writesPerSecond the writes that a store takes, per second
	 * @param readsPerSecond the reads that a store takes, per second
	 */
	public record Item(@NotNull @Pattern(regexp = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}") String name,
			@NotNull StandinKind kind, @NotNull @Pattern(regexp = "[0-9]{1,3}(\\.[0-9]{1,3}){3}") String address,
			@NotNull @Min(0) @Max(65_535) Integer port, @NotNull @Min(0) @Max(65_535) Integer controlPort,
			@Nullable @Pattern(regexp = "[a-z0-9][a-z0-9-]{0,62}") String service, @NotNull String failureDomain,
			@NotNull @Valid EngineOptions engine, @NotNull @Min(1) Double writesPerSecond,
			@NotNull @Min(1) Double readsPerSecond) {

		private static final double DEFAULT_WRITES_PER_SECOND = 400;

		private static final double DEFAULT_READS_PER_SECOND = 2_000;

		/**
		 * Fills in the defaults.
		 */
		public Item {
			port = (port != null) ? port : Integer.valueOf(0);
			controlPort = (controlPort != null) ? controlPort : Integer.valueOf(0);
			failureDomain = (failureDomain != null) ? failureDomain : "default";
			engine = (engine != null) ? engine : EngineOptions.DEFAULTS;
			writesPerSecond = (writesPerSecond != null) ? writesPerSecond : Double.valueOf(DEFAULT_WRITES_PER_SECOND);
			readsPerSecond = (readsPerSecond != null) ? readsPerSecond : Double.valueOf(DEFAULT_READS_PER_SECOND);
		}

	}

}
