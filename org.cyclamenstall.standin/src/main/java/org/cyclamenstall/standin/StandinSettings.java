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
 * Validated settings of a process that runs stand-ins. Immutable.
 *
 * @param standins the stand-ins to start
 */
public record StandinSettings(@NotNull @NotEmpty List<@Valid Item> standins) {

	/**
	 * Settings of one stand-in. Immutable.
	 *
	 * @param name the name, which is also the name of its host
	 * @param kind the kind of system to simulate
	 * @param address the IP address to listen on
	 * @param port the TCP port of the service; 0 selects a free port
	 * @param controlPort the TCP port of control requests; 0 selects a free port
	 * @param service the service under which the stand-in is registered with the host
	 * lists of the same process; {@code null} if it is not registered
	 * @param failureDomain the failure domain of its host
	 * @param engine the capacity and speed of an engine
	 * @param writesPerSecond the maximum rate of writes that a store accepts
	 * @param readsPerSecond the maximum rate of reads that a store accepts
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
		 * Replaces missing values by their defaults.
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
