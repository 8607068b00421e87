package org.cyclamenstall.test.upstream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.internal.upstream.InvalidResponseException;
import org.cyclamenstall.internal.upstream.RelayedEventParser;
import org.cyclamenstall.junit.ThrowableAssert;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RelayedEventParser}.
 */
class RelayedEventParserTests {

	private final List<String> events = new ArrayList<>();

	private void parse(RelayedEventParser parser, String text, int readSizeBytes) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		for (int start = 0; start < bytes.length; start += readSizeBytes) {
			parser.parse(ByteBuffer.wrap(bytes, start, Math.min(readSizeBytes, bytes.length - start)),
					(event) -> this.events.add(new String(event.bytes(), StandardCharsets.UTF_8)));
		}
	}

	@Nested
	class WhenAStreamIsComplete {

		@ParameterizedTest
		@ValueSource(ints = { 1, 2, 7, 1_000 })
		void eventsAreUnchangedForEachReadSize(int readSizeBytes) {
			RelayedEventParser parser = new RelayedEventParser(null, 1);
			parse(parser, "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\n", readSizeBytes);
			assertThat(RelayedEventParserTests.this.events,
					contains("id: 1\ndata: a\n\n", "weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n"));
			assertThat(parser.isCompleteOnClose(), is(true));
		}

	}

	@Nested
	class WhenAStreamIsTruncated {

		@Test
		void anIncompleteEventIsNotRelayed() {
			RelayedEventParser parser = new RelayedEventParser(null, 1);
			parse(parser, "id: 1\ndata: a", 1_000);
			assertThat(RelayedEventParserTests.this.events, empty());
			assertThat(parser.isCompleteOnClose(), is(false));
		}

	}

	@Nested
	class WhenAStreamIsResumed {

		@Test
		void eventsRelayedBeforeAreSkipped() {
			RelayedEventParser parser = new RelayedEventParser("2", 1);
			parse(parser, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", 1_000);
			assertThat(RelayedEventParserTests.this.events, contains("id: 3\ndata: c\n\n"));
		}

		@Test
		void aMissingEventIsAnError() {
			RelayedEventParser parser = new RelayedEventParser("2", 1);
			InvalidResponseException thrown = ThrowableAssert.catchThrowableOfType(InvalidResponseException.class,
					() -> parse(parser, "id: 4\ndata: d\n\n", 1_000));
			assertThat(thrown.failure(), is(AttemptFailure.MALFORMED));
		}

	}

	@Nested
	class WhenAStreamNeverEnds {

		private static final int MAXIMUM_EVENT_BYTES = 65_536;

		// Guards against a stream of short lines that kept its thread busy for a minute.
		@ParameterizedTest
		@ValueSource(strings = { ":\n", "a", "id: 1\n", "data: aaaaaaaaaaaaaaaa\r\n" })
		void anEventWithoutAnEndIsRejectedAtItsMaximumSize(String part) {
			RelayedEventParser parser = new RelayedEventParser(null, 1);
			String event = part.repeat(MAXIMUM_EVENT_BYTES / part.length());
			parse(parser, event, 16_384);
			InvalidResponseException thrown = ThrowableAssert.catchThrowableOfType(InvalidResponseException.class,
					() -> parse(parser, part, 16_384));
			assertThat(thrown.failure(), is(AttemptFailure.TOO_LARGE));
		}

		// Guards against a stream that repeats one event and is never ended.
		@Test
		void anEventThatComesTwiceIsAnError() {
			RelayedEventParser parser = new RelayedEventParser(null, 1);
			InvalidResponseException thrown = ThrowableAssert.catchThrowableOfType(InvalidResponseException.class,
					() -> parse(parser, "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", 1_000));
			assertThat(thrown.failure(), is(AttemptFailure.MALFORMED));
			assertThat(RelayedEventParserTests.this.events, contains("id: 1\ndata: a\n\n"));
		}

		@Test
		void aResumedStreamMayNotRepeatTheSameEventTwice() {
			RelayedEventParser parser = new RelayedEventParser("2", 1);
			InvalidResponseException thrown = ThrowableAssert.catchThrowableOfType(InvalidResponseException.class,
					() -> parse(parser, "id: 2\ndata: b\n\nid: 2\ndata: b\n\n", 1_000));
			assertThat(thrown.failure(), is(AttemptFailure.MALFORMED));
		}

	}

	@Nested
	class WhenTheStreamIsMalformed {

		@ParameterizedTest
		@ValueSource(strings = { "data: a\n\n", "id: x\ndata: a\n\n", "HTTP/1.1 200 OK\r\n\r\n" })
		void isRejected(String stream) {
			RelayedEventParser parser = new RelayedEventParser(null, 1);
			InvalidResponseException thrown = ThrowableAssert.catchThrowableOfType(InvalidResponseException.class,
					() -> parse(parser, stream, 1_000));
			assertThat(thrown.failure(), is(AttemptFailure.MALFORMED));
		}

	}

}
