package org.cyclamenstall.settings;

import java.util.List;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Holds the settings of the port for other daemons. Immutable.
 *
 * @param address the IP number to listen on
 * @param port the TCP port
 * @param secretFile the file that holds the secret shared by the daemons; required unless
 * the address is a loopback one
 * @param seeds the daemons known from the start
 * @param exchangeMillis the pause between two exchanges with a peer, in milliseconds
 * @param timeoutMillis the longest wait for an answer of a peer, in milliseconds
 * @param advertisedAddress the IP number that other daemons are told, if a relay or an
 * address translation stands before this one; otherwise the one that is listened on
 * @param advertisedPort the TCP port that other daemons are told; otherwise the one that
 * is listened on
 * @param fanout the number of peers in a round of exchanges, for deployments of more than
 * some twenty daemons; otherwise every peer
 */
public record PeerSettings(@NotNull @Pattern(regexp = DaemonSettings.IP_NUMBER) String address,
		@NotNull @Min(0) @Max(65_535) Integer port, @Nullable String secretFile,
		@NotNull List<@Valid PeerAddress> seeds, @NotNull @Min(50) @Max(60_000) Integer exchangeMillis,
		@NotNull @Min(10) @Max(60_000) Integer timeoutMillis,
		@Nullable @Pattern(regexp = DaemonSettings.IP_NUMBER) String advertisedAddress,
		@Nullable @Min(1) @Max(65_535) Integer advertisedPort, @Nullable @Min(1) @Max(64) Integer fanout) {

	private static final int DEFAULT_EXCHANGE_MILLIS = 1_000;

	private static final int DEFAULT_TIMEOUT_MILLIS = 500;

	/**
	 * Fills in the defaults.
	 */
	public PeerSettings {
		seeds = (seeds != null) ? List.copyOf(seeds) : List.of();
		exchangeMillis = (exchangeMillis != null) ? exchangeMillis : Integer.valueOf(DEFAULT_EXCHANGE_MILLIS);
		timeoutMillis = (timeoutMillis != null) ? timeoutMillis : Integer.valueOf(DEFAULT_TIMEOUT_MILLIS);
	}

	/**
	 * Creates settings that advertise what is listened on.
	 * @param address the IP number to listen on
	 * @param port the TCP port
	 * @param secretFile the file of the shared secret, or {@code null}
	 * @param seeds the daemons known from the start
	 * @param exchangeMillis the pause between two exchanges, in milliseconds, or
	 * {@code null} for the default
	 * @param timeoutMillis the longest wait, in milliseconds, or {@code null} for the
	 * default
	 */
	public PeerSettings(String address, Integer port, @Nullable String secretFile, List<PeerAddress> seeds,
			@Nullable Integer exchangeMillis, @Nullable Integer timeoutMillis) {
		this(address, port, secretFile, seeds, exchangeMillis, timeoutMillis, null, null);
	}

	/**
	 * Creates settings of an exchange with every peer.
	 * @param address the IP number to listen on
	 * @param port the TCP port
	 * @param secretFile the file of the shared secret, or {@code null}
	 * @param seeds the daemons known from the start
	 * @param exchangeMillis the pause between two exchanges, in milliseconds, or
	 * {@code null} for the default
	 * @param timeoutMillis the longest wait, in milliseconds, or {@code null} for the
	 * default
	 * @param advertisedAddress the IP number that other daemons are told, or {@code null}
	 * @param advertisedPort the TCP port that other daemons are told, or {@code null}
	 */
	public PeerSettings(String address, Integer port, @Nullable String secretFile, List<PeerAddress> seeds,
			@Nullable Integer exchangeMillis, @Nullable Integer timeoutMillis, @Nullable String advertisedAddress,
			@Nullable Integer advertisedPort) {
		this(address, port, secretFile, seeds, exchangeMillis, timeoutMillis, advertisedAddress, advertisedPort, null);
	}

}
