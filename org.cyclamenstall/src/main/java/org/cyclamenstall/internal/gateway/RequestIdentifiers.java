package org.cyclamenstall.internal.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request identifiers that are unique among all daemons. An identifier consists
 * of the host name, the incarnation of the daemon and a counter. Thread-safe.
 */
final class RequestIdentifiers {

	private final String prefix;

	private final AtomicLong counter = new AtomicLong();

	RequestIdentifiers(String host, long incarnation) {
		this.prefix = host + "." + Long.toString(incarnation, Character.MAX_RADIX) + ".";
	}

	String next() {
		return this.prefix + Long.toString(this.counter.incrementAndGet(), Character.MAX_RADIX);
	}

}
