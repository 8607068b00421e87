package org.cyclamenstall.internal.peers;

import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.settings.PeerSettings;
import org.jspecify.annotations.Nullable;

/**
 * Holds the secret shared by the daemons of a deployment. It may be absent only if the
 * daemon listens on a loopback address. The secret must not be logged. Immutable.
 */
final class PeerSecret {

	private final @Nullable String value;

	private PeerSecret(@Nullable String value) {
		this.value = value;
	}

	static PeerSecret load(PeerSettings settings) {
		if (settings.secretFile() == null) {
			requireLoopback(settings.address());
			return new PeerSecret(null);
		}
		String secret = read(Path.of(settings.secretFile()));
		if (secret.isEmpty()) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID, "peers.secretFile: the file is empty");
		}
		return new PeerSecret(secret);
	}

	@Nullable String value() {
		return this.value;
	}

	/**
	 * Compares a secret with this one in constant time.
	 * @param presentedSecret the secret presented by a peer, or {@code null} if it
	 * presented none
	 * @return {@code true} if they are equal or no secret is configured
	 */
	boolean matches(@Nullable String presentedSecret) {
		if (this.value == null) {
			return true;
		}
		byte[] expected = this.value.getBytes(StandardCharsets.UTF_8);
		byte[] actual = ((presentedSecret != null) ? presentedSecret : "").getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(expected, actual);
	}

	private static void requireLoopback(String address) {
		if (!isLoopback(address)) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID,
					"peers.secretFile: required because peers.address is not a loopback address");
		}
	}

	private static boolean isLoopback(String address) {
		try {
			return InetAddress.getByName(address).isLoopbackAddress();
		}
		catch (UnknownHostException ex) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID, "peers.address: not an IP address", ex);
		}
	}

	private static String read(Path file) {
		try {
			return Files.readString(file).strip();
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID, "peers.secretFile: the file cannot be read", ex);
		}
	}

}
