package org.cyclamenstall.test.integration;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests that requests of lower tiers are served while the highest tier occupies every
 * slot. Checks the daemon's decision log after each test.
 */
class NoStarvationTests {

	private static final int TOKENS = 10;

	private static OverloadSite site;

	@BeforeAll
	static void launch() {
		site = new OverloadSite();
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void checkDecisionsAndRestore() {
		site.checkDecisionsAndRestore();
	}

	@Nested
	class WhenChatsOccupyAllSlots {

		@Test
		void everyAdmittedDigestIsServed() {
			List<CallerCall> chats = new ArrayList<>(site.startChats(TestSite.CHAT, OverloadSite.QUEUE_LENGTH, TOKENS));
			List<CallerCall> digests = site.startChats(TestSite.DIGEST, 4, TOKENS);
			while (digests.stream().anyMatch((digest) -> !digest.isDone())) {
				chats.add(site.site().caller(0).startChat(TestSite.CHAT, "more", TOKENS, ChatResponseForm.STREAMED));
				chats.get(chats.size() - OverloadSite.QUEUE_LENGTH).awaitResponse();
			}
			OverloadSite.assertAllComplete(OverloadSite.awaitResponses(digests));
			OverloadSite.assertCompleteOrNotRun(OverloadSite.awaitResponses(chats));
		}

	}

}
