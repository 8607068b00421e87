package org.cyclamenstall.settings;

import java.util.List;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Settings of the peer port, which receives the requests of other daemons. Immutable.
 *
 * @param address the IP address to listen on
 * @param port the TCP port
 * @param secretFile the file that contains the shared secret of the daemons; required
 * unless the address is a loopback address
 * @param seeds the daemons to contact at startup
 * @param exchangeMillis the delay between two rounds of exchanges, in milliseconds
 * @param timeoutMillis the maximum time to wait for the response of a peer, in
 * milliseconds
 * @param advertisedAddress the IP address advertised to other daemons, for a daemon
 * behind a proxy or address translation; {@code null} for the address to listen on
 * @param advertisedPort the TCP port advertised to other daemons, or {@code null} for the
 * port to listen on
 * @param fanout the number of peers in a round of exchanges, for deployments of more than
 * about twenty daemons; {@code null} for every peer
 */
public record PeerSettings(@NotNull @Pattern(regexp = DaemonSettings.IP_ADDRESS) String address,
		@NotNull @Min(0) @Max(65_535) Integer port, @Nullable String secretFile,
		@NotNull List<@Valid PeerAddress> seeds, @NotNull @Min(50) @Max(60_000) Integer exchangeMillis,
		@NotNull @Min(10) @Max(60_000) Integer timeoutMillis,
		@Nullable @Pattern(regexp = DaemonSettings.IP_ADDRESS) String advertisedAddress,
		@Nullable @Min(1) @Max(65_535) Integer advertisedPort, @Nullable @Min(1) @Max(64) Integer fanout) {

	private static final int DEFAULT_EXCHANGE_MILLIS = 1_000;

	private static final int DEFAULT_TIMEOUT_MILLIS = 500;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public PeerSettings {
		seeds = (seeds != null) ? List.copyOf(seeds) : List.of();
		exchangeMillis = (exchangeMillis != null) ? exchangeMillis : Integer.valueOf(DEFAULT_EXCHANGE_MILLIS);
		timeoutMillis = (timeoutMillis != null) ? timeoutMillis : Integer.valueOf(DEFAULT_TIMEOUT_MILLIS);
	}

	/**
	 * Creates settings that advertise the address and port to listen on.
	 * @param address the IP address to listen on
	 * @param port the TCP port
	 * @param secretFile the file that contains the shared secret, or {@code null} for
	 * none
	 * @param seeds the daemons to contact at startup
	 * @param exchangeMillis the delay between two rounds of exchanges, in milliseconds,
	 * or {@code null} for the default
	 * @param timeoutMillis the maximum time to wait for the response of a peer, in
	 * milliseconds, or {@code null} for the default
	 */
	public PeerSettings(String address, Integer port, @Nullable String secretFile, List<PeerAddress> seeds,
			@Nullable Integer exchangeMillis, @Nullable Integer timeoutMillis) {
		this(address, port, secretFile, seeds, exchangeMillis, timeoutMillis, null, null);
	}

	/**
	 * Creates settings without a fanout, so that each round exchanges with every peer.
	 * @param address the IP address to listen on
	 * @param port the TCP port
	 * @param secretFile the file that contains the shared secret, or {@code null} for
	 * none
	 * @param seeds the daemons to contact at startup
	 * @param exchangeMillis the delay between two rounds of exchanges, in milliseconds,
	 * or {@code null} for the default
	 * @param timeoutMillis the maximum time to wait for the response of a peer, in
	 * milliseconds, or {@code null} for the default
	 * @param advertisedAddress the advertised IP address, or {@code null} for the address
	 * to listen on
	 * @param advertisedPort the advertised TCP port, or {@code null} for the port to
	 * listen on
	 */
	public PeerSettings(String address, Integer port, @Nullable String secretFile, List<PeerAddress> seeds,
			@Nullable Integer exchangeMillis, @Nullable Integer timeoutMillis, @Nullable String advertisedAddress,
			@Nullable Integer advertisedPort) {
		this(address, port, secretFile, seeds, exchangeMillis, timeoutMillis, advertisedAddress, advertisedPort, null);
	}

}
