package org.cyclamenstall.internal.operators;

import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.settings.OperatorSettings;
import org.jspecify.annotations.Nullable;

/**
 * Verifies the token of operators in constant time. If no token is configured, all
 * requests are allowed; this is permitted only on a loopback address. Immutable.
 */
final class OperatorToken {

	private static final int MINIMUM_TOKEN_LENGTH = 16;

	private static final String SCHEME = "Bearer ";

	private final byte @Nullable [] hash;

	private OperatorToken(byte @Nullable [] hash) {
		this.hash = hash;
	}

	static OperatorToken read(OperatorSettings settings) {
		if (settings.tokenFile() == null) {
			requireLoopbackAddress(settings.address());
			return new OperatorToken(null);
		}
		try {
			String token = Files.readString(Path.of(settings.tokenFile()), StandardCharsets.UTF_8).strip();
			if (token.length() < MINIMUM_TOKEN_LENGTH) {
				throw invalid("operators.tokenFile: the token in " + settings.tokenFile() + " is shorter than "
						+ MINIMUM_TOKEN_LENGTH + " characters");
			}
			return new OperatorToken(DigestUtils.sha256(token));
		}
		catch (IOException ex) {
			throw invalid("operators.tokenFile: " + settings.tokenFile() + " cannot be read");
		}
	}

	boolean allows(@Nullable String authorization) {
		if (this.hash == null) {
			return true;
		}
		if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return false;
		}
		byte[] presentedHash = DigestUtils.sha256(authorization.substring(SCHEME.length()).strip());
		return MessageDigest.isEqual(this.hash, presentedHash);
	}

	private static void requireLoopbackAddress(String address) {
		try {
			if (InetAddress.getByName(address).isLoopbackAddress()) {
				return;
			}
		}
		catch (UnknownHostException ex) {
			throw invalid("operators.address: " + address + " is not an IP address");
		}
		throw invalid("operators.tokenFile: required because " + address + " is reachable from other hosts");
	}

	private static RouterException invalid(String message) {
		return new RouterException(ErrorKind.SETTINGS_INVALID, message);
	}

}
