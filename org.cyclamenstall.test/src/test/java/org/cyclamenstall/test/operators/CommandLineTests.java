package org.cyclamenstall.test.operators;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.cyclamenstall.internal.http.BlockingHttpClient;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.internal.http.HttpResponse;
import org.cyclamenstall.internal.operators.OperatorServer;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.junit.StoreFault;
import org.cyclamenstall.junit.StoreOperation;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.pgm.CommandLineMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link CommandLineMain} against a running {@link OperatorServer}.
 */
class CommandLineTests {

	private static final String ORDERS = """
			name: orders
			kind: service
			owner: Order desk
			class: standard
			upstreams: ghiseu
			pathPrefix: /orders
			""";

	private static final String CHAT = """
			name: chat
			kind: model
			owner: Dispatch
			class: interactive
			upstreams: cuptor
			model: chat
			""";

	@TempDir
	private Path directory;

	private OperatorFixture fixture;

	@BeforeEach
	void start() throws IOException {
		this.fixture = new OperatorFixture(this.directory);
	}

	@AfterEach
	void close() {
		this.fixture.close();
	}

	private OperatorFixture.CommandResult put(String text, String... options) throws IOException {
		Path file = this.fixture.writeFile("entries.yaml", text);
		String[] arguments = new String[options.length + 4];
		arguments[0] = "catalogue";
		arguments[1] = "put";
		arguments[2] = "-f";
		arguments[3] = file.toString();
		System.arraycopy(options, 0, arguments, 4, options.length);
		return this.fixture.run(arguments);
	}

	@Nested
	class WhenEditsAreValid {

		@Test
		void aFileOfSeveralEntriesIsAcceptedAndReportedActive() throws IOException {
			OperatorFixture.CommandResult result = put(ORDERS + "---\n" + CHAT);
			assertThat(result.errors(), is(emptyString()));
			assertThat(result.exitCode(), is(0));
			assertThat(result.output(),
					allOf(containsString("orders: accepted at revision 1"),
							containsString("chat: accepted at revision 2"),
							containsString("revision 2: in force on 1 of 1 live hosts")));
			assertThat(CommandLineTests.this.fixture.run("catalogue", "list").output(), containsString("interactive"));
			OperatorFixture.CommandResult shown = CommandLineTests.this.fixture.run("catalogue", "show", "orders");
			assertThat(put(shown.output()).output(), containsString("accepted at revision 3"));
			assertThat(CommandLineTests.this.fixture.run("catalogue", "delete", "orders").exitCode(), is(0));
			assertThat(CommandLineTests.this.fixture.run("catalogue", "show", "orders").exitCode(), is(3));
			assertThat(CommandLineTests.this.fixture.run("catalogue", "history", "orders").output(),
					containsString("delete"));
		}

		@Test
		void laggingHostsAreListed() throws IOException {
			CommandLineTests.this.fixture.membership.put("host-2", MemberState.ALIVE, 0);
			CommandLineTests.this.fixture.membership.put("host-3", MemberState.SUSPECT, 0);
			assertThat(put(ORDERS, "--wait-seconds", "0").output(),
					containsString("in force on 1 of 2 live hosts; not yet known of: host-2"));
		}

		@ParameterizedTest
		@ValueSource(strings = { "status", "hosts", "upstreams" })
		void theStateIsShownAsTableAndJson(String subcommand) {
			assertThat(CommandLineTests.this.fixture.run(subcommand).exitCode(), is(0));
			assertThat(CommandLineTests.this.fixture.run(subcommand, "--output", "json").output(), startsWith("{"));
		}

	}

	@Nested
	class WhenEditsAreRejected {

		@Test
		void anErrorNamesTheLineOfTheFileAndNothingIsWritten() throws IOException {
			OperatorFixture.CommandResult result = put(CHAT + "---\n" + ORDERS.replace("standard", "gold"));
			assertThat(result.exitCode(), is(3));
			assertThat(result.errors(),
					allOf(startsWith("cyclamenstall: catalogue-invalid: "), containsString("entries.yaml:11: class")));
			assertThat(result.errors().lines().count(), is(1L));
			assertThat(CommandLineTests.this.fixture.replica.summary().revision(), is(0L));
		}

		@Test
		void anErrorFoundByTheDaemonNamesTheLineOfTheFile() throws IOException {
			put(ORDERS);
			OperatorFixture.CommandResult result = put(
					"# a comment\n---\n" + ORDERS.replace("name: orders", "name: bookings"));
			assertThat(result.exitCode(), is(3));
			assertThat(result.errors(), containsString("entries.yaml:8: pathPrefix: already used by entry orders"));
		}

		@Test
		void aConflictNamesTheCurrentRevision() throws IOException {
			put(ORDERS);
			OperatorFixture.CommandResult result = put(ORDERS, "--expected-revision", "0");
			assertThat(result.exitCode(), is(4));
			assertThat(result.errors(), allOf(containsString("catalogue-conflict"), containsString("at revision 1")));
		}

		@Test
		void anEditOfUnknownOutcomeCanBeRepeatedWithItsIdentifier() throws IOException {
			put(CHAT);
			CommandLineTests.this.fixture.store.setFault(StoreOperation.SWAP, StoreFault.WRITE_DELAYED);
			OperatorFixture.CommandResult result = put(ORDERS, "--edit-id", "edit-7");
			assertThat(result.exitCode(), is(6));
			assertThat(result.errors(), containsString("catalogue-write-unknown"));
			CommandLineTests.this.fixture.store.setFault(StoreFault.NONE);
			CommandLineTests.this.fixture.store.applyDelayedWrites();
			assertThat(put(ORDERS, "--edit-id", "edit-7").output(), containsString("accepted at revision 2"));
		}

		@Test
		void anEditIdentifierThatIsTooLongIsRejected() throws IOException {
			OperatorFixture.CommandResult result = put(ORDERS, "--edit-id", "x".repeat(129));
			assertThat(result.exitCode(), is(3));
			assertThat(result.errors(), containsString("X-Edit-Id"));
		}

		@Test
		void anUnavailableStoreIsReported() throws IOException {
			CommandLineTests.this.fixture.store.setFault(StoreFault.UNAVAILABLE);
			OperatorFixture.CommandResult result = put(ORDERS);
			assertThat(result.exitCode(), is(5));
			assertThat(result.errors(), containsString("store-unavailable"));
		}

	}

	@Nested
	class WhenTheCommandIsRun {

		@ParameterizedTest
		@CsvSource({ "'',2", "nonsense,2", "catalogue,2", "catalogue show,2", "status more,2", "status --wrong,2",
				"status --output xml,2", "catalogue show nothing,3", "catalogue delete nothing,3",
				"catalogue put -f /nothing,3", "settings check /nothing,2" })
		void theErrorIsOneLineWithItsCode(String commandLine, int code) {
			OperatorFixture.CommandResult result = CommandLineTests.this.fixture
				.run(commandLine.isEmpty() ? new String[0] : commandLine.split(" "));
			assertThat(result.errors(), startsWith("cyclamenstall: "));
			assertThat(result.errors().lines().count(), is(1L));
			assertThat(result.exitCode(), is(code));
		}

		@ParameterizedTest
		@ValueSource(strings = { "--help", "catalogue --help", "catalogue put --help", "catalogue list --help",
				"key hash --help", "settings check -h" })
		void helpListsTheExitCodes(String commandLine) {
			OperatorFixture.CommandResult result = OperatorFixture.runCommandLine("", List.of(commandLine.split(" ")));
			assertThat(result.exitCode(), is(0));
			assertThat(result.output(),
					allOf(startsWith("usage: cyclamenstall"), containsString("catalogue-conflict")));
		}

		@Test
		void aWrongTokenIsRejected() throws IOException {
			CommandLineTests.this.fixture.writeFile("token", "a-token-of-nobody-at-all");
			OperatorFixture.CommandResult result = CommandLineTests.this.fixture.run("status");
			assertThat(result.exitCode(), is(3));
			assertThat(result.errors(), containsString("operator-unauthorized"));
		}

		@Test
		void anUnreachableDaemonIsReportedAsUnavailable() {
			CommandLineTests.this.fixture.close();
			assertThat(CommandLineTests.this.fixture.run("status").exitCode(), is(5));
		}

		@Test
		void theHashOfAKeyIsPrinted() {
			assertThat(OperatorFixture.runCommandLine("secret\n", List.of("key", "hash")).output().strip(),
					is("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"));
		}

	}

	@Nested
	class WhenNoTokenIsSent {

		@ParameterizedTest
		@CsvSource({ "/health,200", "/ready,200", "/metrics,401", "/v1/status,401", "/v1/catalogue,401",
				"/nothing,404" })
		void onlyHealthAndReadinessNeedNoToken(String path, int status) {
			assertThat(get(path).status(), is(status));
		}

		@Test
		void healthIsIndependentOfReadiness() {
			CommandLineTests.this.fixture.readiness = new Readiness(false, "no catalogue");
			assertThat(get("/ready").status(), is(503));
			assertThat(get("/ready").text(), containsString("no catalogue"));
			assertThat(get("/health").status(), is(200));
		}

		private HttpResponse get(String path) {
			try (BlockingHttpClient client = new BlockingHttpClient("test", CommandLineTests.this.fixture.address())) {
				return client.call(HttpCall.get(path, java.time.Duration.ofSeconds(60)));
			}
		}

	}

}
