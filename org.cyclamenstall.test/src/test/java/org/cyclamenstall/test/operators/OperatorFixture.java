package org.cyclamenstall.test.operators;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.internal.operators.OperatorServer;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.internal.operators.UpstreamRow;
import org.cyclamenstall.junit.InMemoryConfigurationStore;
import org.cyclamenstall.junit.StaticMembership;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.pgm.CommandLineMain;
import org.cyclamenstall.settings.OperatorSettings;

/**
 * Runs an operator server on an in-memory store, and the command-line tool against it.
 */
final class OperatorFixture implements AutoCloseable {

	static final String TOKEN = "a-token-of-operators";

	final InMemoryConfigurationStore store = new InMemoryConfigurationStore();

	final StaticMembership membership = new StaticMembership("host-1");

	final LocalCatalogue replica;

	final Path directory;

	final OperatorServer server;

	private final InetSocketAddress address;

	Readiness readiness = new Readiness(true, "");

	OperatorFixture(Path directory) throws IOException {
		this.directory = directory;
		Path tokenFile = writeFile("token", TOKEN + "\n");
		PrometheusRegistry metrics = new PrometheusRegistry();
		this.replica = new LocalCatalogue(metrics);
		this.replica.addListener((catalogue) -> this.membership.put("host-1", MemberState.ALIVE, catalogue.revision()));
		this.server = new OperatorServer(new OperatorSettings("127.0.0.1", 0, tokenFile.toString()), "test", this.store,
				this.replica, this.membership, () -> this.readiness,
				() -> List.of(new UpstreamRow("cuptor", "cuptor-1", "127.0.0.9:80", "a", "live", 2, 8, 0.1)), metrics,
				MonotonicClock.SYSTEM, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
		this.server.start();
		this.address = this.server.address();
	}

	Path writeFile(String name, String text) throws IOException {
		return Files.writeString(this.directory.resolve(name), text);
	}

	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Runs the command-line tool with the address and token of the daemon.
	 * @param arguments the command line
	 * @return the exit code and the output
	 */
	CommandResult run(String... arguments) {
		List<String> allArguments = new ArrayList<>(List.of(arguments));
		allArguments.addAll(List.of("--daemon", "127.0.0.1:" + address().getPort(), "--token-file",
				this.directory.resolve("token").toString()));
		return runCommandLine("", allArguments);
	}

	static CommandResult runCommandLine(String input, List<String> arguments) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		ByteArrayOutputStream errors = new ByteArrayOutputStream();
		int exitCode = CommandLineMain.run(arguments, new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
				new PrintStream(output, true, StandardCharsets.UTF_8),
				new PrintStream(errors, true, StandardCharsets.UTF_8));
		return new CommandResult(exitCode, output.toString(StandardCharsets.UTF_8),
				errors.toString(StandardCharsets.UTF_8));
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * Result of one run of the command-line tool.
	 *
	 * @param exitCode the exit code
	 * @param output the standard output
	 * @param errors the standard error
	 */
	record CommandResult(int exitCode, String output, String errors) {

	}

}
