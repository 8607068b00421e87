package org.cyclamenstall.pgm.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.http.BlockingHttpClient;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.internal.http.HttpResponse;
import org.cyclamenstall.internal.http.HttpResponseState;
import org.cyclamenstall.lib.HeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * Calls the operators' port of a daemon. An edit carries an identifier, so that it is
 * safe to send it again when no answer came. Not thread-safe.
 */
final class OperatorClient implements AutoCloseable {

	/** The option that names the daemon. */
	static final String DAEMON = "daemon";

	/** The option that names the file with the operators' token. */
	static final String TOKEN_FILE = "token-file";

	private static final String DAEMON_VARIABLE = "CYCLAMENSTALL_DAEMON";

	private static final String TOKEN_FILE_VARIABLE = "CYCLAMENSTALL_TOKEN_FILE";

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int EDIT_ATTEMPTS = 3;

	private static final int FIRST_ERROR_STATUS = 400;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, String> headers = new HashMap<>();

	private final BlockingHttpClient client;

	private final String daemon;

	private OperatorClient(String daemon, InetSocketAddress address) {
		this.daemon = daemon;
		this.client = new BlockingHttpClient("operator", address);
	}

	static OperatorClient create(CommandLine line) {
		String daemon = option(line, DAEMON, DAEMON_VARIABLE);
		if (daemon == null) {
			throw new RouterException(ErrorKind.USAGE, "--daemon ADDRESS:PORT is required; see --help");
		}
		OperatorClient client = new OperatorClient(daemon, address(daemon));
		String tokenFile = option(line, TOKEN_FILE, TOKEN_FILE_VARIABLE);
		if (tokenFile != null) {
			client.headers.put(HeaderNames.AUTHORIZATION, "Bearer " + token(tokenFile));
		}
		return client;
	}

	@Override
	public void close() {
		this.client.close();
	}

	JsonNode get(String path) {
		return json(this.client.call(new HttpCall("GET", path, this.headers, new byte[0], TIMEOUT)));
	}

	/**
	 * Sends an edit, and sends it again while no answer comes.
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param editId the identifier of the edit
	 * @param body the body
	 * @return the answer
	 */
	JsonNode edit(String method, String path, String editId, byte[] body) {
		Map<String, String> editHeaders = new HashMap<>(this.headers);
		editHeaders.put("X-Edit-Id", editId);
		editHeaders.put("X-Operator", encode(System.getProperty("user.name", "unknown")));
		HttpCall call = new HttpCall(method, path, editHeaders, body, TIMEOUT);
		boolean sent = false;
		HttpResponse answer = this.client.call(call);
		for (int attempt = 1; answer.state() != HttpResponseState.ANSWERED && attempt < EDIT_ATTEMPTS; attempt++) {
			sent |= answer.state() == HttpResponseState.NO_ANSWER;
			answer = this.client.call(call);
		}
		sent |= answer.state() == HttpResponseState.NO_ANSWER;
		if (answer.state() != HttpResponseState.ANSWERED && sent) {
			throw new RouterException(ErrorKind.CATALOGUE_WRITE_UNKNOWN, "the daemon " + this.daemon
					+ " gave no answer; repeat the edit with --edit-id " + editId + " to settle it");
		}
		return json(answer);
	}

	static String encode(String segment) {
		return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
	}

	private JsonNode json(HttpResponse answer) {
		if (answer.state() != HttpResponseState.ANSWERED) {
			throw new RouterException(ErrorKind.UPSTREAM_UNREACHABLE,
					"the daemon " + this.daemon + " did not answer: " + answer.detail());
		}
		try {
			JsonNode body = this.mapper.readTree(answer.body());
			if (answer.status() >= FIRST_ERROR_STATUS) {
				throw new DaemonRefusedException(kind(body.path("error").path("kind").asText()), body.path("error"));
			}
			return body;
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.INTERNAL,
					"the daemon " + this.daemon + " answered status " + answer.status() + " without JSON", ex);
		}
	}

	private static ErrorKind kind(String code) {
		return Arrays.stream(ErrorKind.values())
			.filter((kind) -> kind.code().equals(code))
			.findFirst()
			.orElse(ErrorKind.INTERNAL);
	}

	private static @Nullable String option(CommandLine line, String name, String variable) {
		return line.hasOption(name) ? line.getOptionValue(name) : System.getenv(variable);
	}

	private static InetSocketAddress address(String daemon) {
		int colon = daemon.lastIndexOf(':');
		try {
			if (colon > 0) {
				String host = daemon.substring(0, colon).replace("[", "").replace("]", "");
				return new InetSocketAddress(host, Integer.parseInt(daemon.substring(colon + 1)));
			}
		}
		catch (IllegalArgumentException ex) {
			throw new RouterException(ErrorKind.USAGE, "--daemon must be ADDRESS:PORT", ex);
		}
		throw new RouterException(ErrorKind.USAGE, "--daemon must be ADDRESS:PORT");
	}

	private static String token(String file) {
		try {
			return Files.readString(Path.of(file), StandardCharsets.UTF_8).strip();
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.USAGE, "--token-file: " + file + " cannot be read", ex);
		}
	}

}
