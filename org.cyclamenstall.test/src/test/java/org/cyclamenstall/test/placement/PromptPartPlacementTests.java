package org.cyclamenstall.test.placement;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of requests with prompt parts that crash upstreams.
 */
class PromptPartPlacementTests {

	private static final String DOMAIN = "domain-0";

	@Test
	void requestsWithItAreRefusedAsNotExecuted() {
		PlacementFixture fixture = new PlacementFixture(8, DOMAIN, 1);
		crashUpstreams(fixture, 3);
		PlacedRequest refused = fixture.submitDialogue("deadly");
		assertThat(refused.grant, nullValue());
		assertThat(refused.refusal.kind(), equalTo(ErrorKind.PROMPT_QUARANTINED));
		assertThat(refused.refusal.retryAfter(), greaterThan(Duration.ofSeconds(30)));
		assertThat(fixture.submitDialogue("sound").grant, notNullValue());
	}

	@Test
	void aQueuedRequestWithItIsRefused() {
		PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
		PlacedRequest first = fixture.submitPlan(2, 20_000, "deadly");
		PlacedRequest second = fixture.submitPlan(2, 20_000, "deadly");
		while (!second.isPending()) {
			second = fixture.submitPlan(2, 20_000, "deadly");
		}
		for (int crash = 1; crash <= 3; crash++) {
			fixture.clock.advance(Duration.ofMillis(300));
			fixture.updateHost(0, HostState.LIVE, crash);
			fixture.quarantine.recordCrash(fixture.host(0), first.attributes.options().prompt(),
					fixture.clock.nanoTime());
			fixture.clock.advance(Duration.ofMillis(300));
		}
		fixture.controller.tick();
		assertThat(second.refusal.kind(), equalTo(ErrorKind.PROMPT_QUARANTINED));
	}

	@Test
	void aRequestThatLostTwoUpstreamsIsNotSentToAThird() {
		PlacementFixture fixture = new PlacementFixture(8, DOMAIN, 1);
		crashUpstreams(fixture, 1);
		PlacedRequest dialogue = fixture.submitDialogue("deadly");
		fixture.clock.advance(Duration.ofMillis(500));
		dialogue.grant.release(AttemptResult.CONNECTION_LOST);
		assertThat(dialogue.retry(RetryReason.CONNECTION_LOST), equalTo(RetryDecision.PROMPT_SUSPECTED));
	}

	@Test
	void aProbeIsPlacedAfterTheQuarantine() {
		PlacementFixture fixture = new PlacementFixture(8, DOMAIN, 1);
		crashUpstreams(fixture, 3);
		assertThat(fixture.submitDialogue("deadly").refusal, notNullValue());
		fixture.clock.advance(Duration.ofSeconds(155));
		PlacedRequest probe = fixture.submitDialogue("deadly");
		assertThat(probe.grant, notNullValue());
		assertThat(fixture.submitDialogue("deadly").refusal.kind(), equalTo(ErrorKind.PROMPT_QUARANTINED));
		fixture.clock.advance(Duration.ofMillis(50));
		probe.grant.recordFirstToken();
		assertThat(fixture.submitDialogue("deadly").grant, notNullValue());
	}

	@Test
	void aStreamThatHadBegunIsNoEvidence() {
		PlacementFixture fixture = new PlacementFixture(8, DOMAIN, 1);
		for (int crash = 0; crash < 8; crash++) {
			PlacedRequest dialogue = fixture.submitDialogue("sound");
			dialogue.grant.recordFirstToken();
			fixture.clock.advance(Duration.ofSeconds(2));
			dialogue.grant.release(AttemptResult.CONNECTION_LOST);
			fixture.restartHost(dialogue.upstream());
		}
		assertThat(fixture.submitDialogue("sound").refusal, nullValue());
	}

	private void crashUpstreams(PlacementFixture fixture, int count) {
		for (int crash = 1; crash <= count; crash++) {
			fixture.clock.advance(Duration.ofSeconds(2));
			PlacedRequest sound = fixture.submitDialogue("sound");
			fixture.clock.advance(Duration.ofMillis(50));
			sound.grant.recordFirstToken();
			sound.grant.release(AttemptResult.COMPLETED);
			PlacedRequest dialogue = fixture.submitDialogue("deadly");
			String upstream = dialogue.upstream();
			fixture.clock.advance(Duration.ofMillis(500));
			dialogue.grant.release(AttemptResult.CONNECTION_LOST);
			fixture.restartHost(upstream);
		}
		fixture.clock.advance(Duration.ofMillis(300));
	}

}
