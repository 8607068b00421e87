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
 * Client for the operator API of a daemon. Each edit carries an identifier, so that it
 * can safely be retried if no response was received. Not thread-safe.
 */
final class OperatorClient implements AutoCloseable {

	/** Option for the operator address of the daemon. */
	static final String DAEMON_OPTION = "daemon";

	/** Option for the file with the operator token. */
	static final String TOKEN_FILE_OPTION = "token-file";

	private static final String DAEMON_VARIABLE = "CYCLAMENSTALL_DAEMON";

	private static final String TOKEN_FILE_VARIABLE = "CYCLAMENSTALL_TOKEN_FILE";

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int EDIT_ATTEMPTS = 3;

	private static final int FIRST_ERROR_STATUS = 400;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, String> headers = new HashMap<>();

	private final BlockingHttpClient client;

	private final String daemonAddress;

	private OperatorClient(String daemonAddress, InetSocketAddress address) {
		this.daemonAddress = daemonAddress;
		this.client = new BlockingHttpClient("operator", address);
	}

	static OperatorClient create(CommandLine line) {
		String daemonAddress = option(line, DAEMON_OPTION, DAEMON_VARIABLE);
		if (daemonAddress == null) {
			throw new RouterException(ErrorKind.USAGE, "--daemon ADDRESS:PORT is required; see --help");
		}
		OperatorClient client = new OperatorClient(daemonAddress, address(daemonAddress));
		String tokenFile = option(line, TOKEN_FILE_OPTION, TOKEN_FILE_VARIABLE);
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
		return parse(this.client.call(new HttpCall("GET", path, this.headers, new byte[0], TIMEOUT)));
	}

	/**
	 * Sends an edit, and retries it if no response is received.
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param editId the identifier of the edit
	 * @param body the body
	 * @return the body of the response
	 * @throws RouterException of kind {@code CATALOGUE_WRITE_UNKNOWN} if the edit may
	 * have been applied but no attempt got a response
	 */
	JsonNode edit(String method, String path, String editId, byte[] body) {
		Map<String, String> editHeaders = new HashMap<>(this.headers);
		editHeaders.put("X-Edit-Id", editId);
		editHeaders.put("X-Operator", urlEncode(System.getProperty("user.name", "unknown")));
		HttpCall call = new HttpCall(method, path, editHeaders, body, TIMEOUT);
		boolean mayHaveBeenSent = false;
		HttpResponse response = this.client.call(call);
		for (int attempt = 1; response.state() != HttpResponseState.ANSWERED && attempt < EDIT_ATTEMPTS; attempt++) {
			mayHaveBeenSent |= response.state() == HttpResponseState.NO_ANSWER;
			response = this.client.call(call);
		}
		mayHaveBeenSent |= response.state() == HttpResponseState.NO_ANSWER;
		if (response.state() != HttpResponseState.ANSWERED && mayHaveBeenSent) {
			throw new RouterException(ErrorKind.CATALOGUE_WRITE_UNKNOWN, "the daemon " + this.daemonAddress
					+ " did not respond; repeat the edit with --edit-id " + editId + " to determine its outcome");
		}
		return parse(response);
	}

	static String urlEncode(String segment) {
		return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
	}

	private JsonNode parse(HttpResponse response) {
		if (response.state() != HttpResponseState.ANSWERED) {
			throw new RouterException(ErrorKind.UPSTREAM_UNREACHABLE,
					"the daemon " + this.daemonAddress + " did not respond: " + response.detail());
		}
		try {
			JsonNode body = this.mapper.readTree(response.body());
			if (response.status() >= FIRST_ERROR_STATUS) {
				throw new DaemonErrorException(kind(body.path("error").path("kind").asText()), body.path("error"));
			}
			return body;
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "the daemon " + this.daemonAddress + " responded with status "
					+ response.status() + " and without valid JSON", ex);
		}
	}

	private static ErrorKind kind(String code) {
		return Arrays.stream(ErrorKind.values())
			.filter((kind) -> kind.code().equals(code))
			.findFirst()
			.orElse(ErrorKind.INTERNAL);
	}

	private static @Nullable String option(CommandLine line, String name, String environmentVariable) {
		return line.hasOption(name) ? line.getOptionValue(name) : System.getenv(environmentVariable);
	}

	private static InetSocketAddress address(String daemonAddress) {
		int colon = daemonAddress.lastIndexOf(':');
		try {
			if (colon > 0) {
				String host = daemonAddress.substring(0, colon).replace("[", "").replace("]", "");
				return new InetSocketAddress(host, Integer.parseInt(daemonAddress.substring(colon + 1)));
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
			throw new RouterException(ErrorKind.USAGE, "token file " + file + " cannot be read", ex);
		}
	}

}
