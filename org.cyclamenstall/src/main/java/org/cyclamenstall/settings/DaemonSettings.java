package org.cyclamenstall.settings;

import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Settings of a daemon. Immutable.
 *
 * @param host the name of this host, unique in the deployment
 * @param failureDomain the failure domain of this host
 * @param region the region of this host
 * @param callers the settings of the caller port
 * @param operators the settings of the operator port
 * @param peers the settings of the peer port
 * @param platform the settings of the platform's store and host list
 * @param policy the traffic policies and their limits
 * @param claims the settings of claims
 * @param shutdown the settings of a graceful shutdown
 * @param logs the settings of the logs
 */
public record DaemonSettings(@NotNull @Pattern(regexp = DaemonSettings.NAME) String host,
		@NotNull @Pattern(regexp = DaemonSettings.NAME) String failureDomain,
		@NotNull @Pattern(regexp = DaemonSettings.NAME) String region, @NotNull @Valid CallerSettings callers,
		@NotNull @Valid OperatorSettings operators, @NotNull @Valid PeerSettings peers,
		@NotNull @Valid PlatformSettings platform, @NotNull @Valid PolicySettings policy,
		@NotNull @Valid ClaimSettings claims, @NotNull @Valid ShutdownSettings shutdown,
		@NotNull @Valid LogSettings logs) {

	static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

	static final String IP_ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]+";

	/**
	 * Replaces optional components that are {@code null} by their defaults.
	 */
	public DaemonSettings {
		region = (region != null) ? region : "default";
		policy = (policy != null) ? policy : PolicySettings.DEFAULTS;
		claims = (claims != null) ? claims : ClaimSettings.DEFAULTS;
		shutdown = (shutdown != null) ? shutdown : ShutdownSettings.DEFAULTS;
		logs = (logs != null) ? logs : LogSettings.DEFAULTS;
	}

}
