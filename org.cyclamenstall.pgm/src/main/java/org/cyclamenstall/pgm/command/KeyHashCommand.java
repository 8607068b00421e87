package org.cyclamenstall.pgm.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Prints the hash of an API key for an account entry. Stateless.
 */
final class KeyHashCommand implements Subcommand {

	private static final int MAXIMUM_KEY_BYTES = 4_096;

	@Override
	public String name() {
		return "key hash";
	}

	@Override
	public String summary() {
		return "Read an API key from standard input and print its SHA-256 hash for keyHashes.";
	}

	@Override
	public void run(CommandContext context) {
		context.requireNoArguments();
		String key = read(context).strip();
		if (key.isEmpty()) {
			throw new RouterException(ErrorKind.USAGE, "expected an API key on standard input");
		}
		context.output().println(DigestUtils.sha256Hex(key));
	}

	private static String read(CommandContext context) {
		try {
			return new String(context.input().readNBytes(MAXIMUM_KEY_BYTES), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.USAGE, "cannot read standard input", ex);
		}
	}

}
