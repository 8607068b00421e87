package org.cyclamenstall.standin.site;

import java.io.PrintStream;

import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.standin.caller.CallerClient;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;

/**
 * Sends one request of each kind and checks each response. Not thread-safe.
 */
final class DemoRequests {

	private static final int OK = 200;

	private static final int RESPONSE_TOKENS = 12;

	private static final int MAXIMUM_SHOWN_CHARACTERS = 80;

	private final Site site;

	private final PrintStream output;

	private int nextDaemon;

	private int failedChecks;

	DemoRequests(Site site, PrintStream output) {
		this.site = site;
		this.output = output;
	}

	void send(DemoDeployment deployment) {
		this.output.println(deployment.name() + ", as account " + deployment.account());
		CallerResponse nonStreamed = nextClient(deployment).chat(deployment.model(), "Is the ramp free?",
				RESPONSE_TOKENS, ChatResponseForm.NON_STREAMED);
		checkAndPrint("chat, whole", nonStreamed, nonStreamed.isComplete() && !nonStreamed.text().isEmpty());
		CallerResponse streamed = nextClient(deployment).chat(deployment.model(), "Is the ramp free?", RESPONSE_TOKENS,
				ChatResponseForm.STREAMED);
		checkAndPrint("chat, streamed", streamed,
				streamed.isComplete() && streamed.isStream() && !streamed.text().isEmpty());
		CallerResponse lookUp = nextClient(deployment).get(deployment.lookUpPath() + "/17");
		checkAndPrint("lookup", lookUp, lookUp.isComplete());
		bookTwice(deployment);
	}

	int failedChecks() {
		return this.failedChecks;
	}

	private void bookTwice(DemoDeployment deployment) {
		String key = deployment.account() + "-booking-1";
		String body = "{\"item\":17}";
		CallerResponse first = nextClient(deployment).postWithKey(deployment.bookingPath(), key, body);
		checkAndPrint("booking", first, first.isComplete());
		CallerResponse second = nextClient(deployment).postWithKey(deployment.bookingPath(), key, body);
		checkAndPrint("booking, repeated", second, second.isComplete() && second.body().equals(first.body()));
		long executions = this.site.executionsOfKey(key);
		recordCheck(executions == 1);
		this.output.println("  the plain service executed the booking " + executions + " time(s)");
	}

	private CallerClient nextClient(DemoDeployment deployment) {
		DaemonInstance daemon = this.site.daemon(this.nextDaemon % this.site.daemons().size());
		this.nextDaemon++;
		return new CallerClient(daemon.callerAddress(), deployment.apiKey());
	}

	private void checkAndPrint(String kind, CallerResponse response, boolean passed) {
		recordCheck(passed);
		String text = (response.status() == OK && (response.isStream() || kind.startsWith("chat"))) ? response.text()
				: response.body();
		this.output.printf("  %-24s %s %d from %s by %s: %s%n", kind, passed ? "right" : "WRONG", response.status(),
				response.header(HeaderNames.UPSTREAM).orElse("-"), response.header(HeaderNames.ROUTED_BY).orElse("-"),
				text.substring(0, Math.min(MAXIMUM_SHOWN_CHARACTERS, text.length())));
	}

	private void recordCheck(boolean passed) {
		if (!passed) {
			this.failedChecks++;
		}
	}

}
