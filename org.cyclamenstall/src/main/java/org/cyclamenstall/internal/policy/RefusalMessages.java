package org.cyclamenstall.internal.policy;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Creates the messages of refusals for callers.
 */
final class RefusalMessages {

	private RefusalMessages() {
	}

	static String of(ErrorKind kind, RequestAttributes attributes) {
		String entry = attributes.entry().name();
		String tier = attributes.tier().label();
		return switch (kind) {
			case REQUEST_RATE_LIMITED, CONCURRENCY_LIMITED, TOKEN_RATE_LIMITED -> "A limit of client account "
					+ attributes.account().name() + " or of entry " + entry + " has been reached";
			case QUEUE_FULL -> "The queue of class " + tier + " is full";
			case SHED -> "The request of class " + tier + " was dropped in favour of a higher class";
			case DEADLINE_UNREACHABLE -> "The request would wait longer than entry " + entry + " allows";
			case DEADLINE_EXCEEDED -> "The request waited longer than entry " + entry + " allows";
			case NO_LIVE_UPSTREAM -> "No live upstream serves entry " + entry;
			case SHUTTING_DOWN -> "The daemon is shutting down";
			default -> "The request was refused: " + kind.code();
		};
	}

}
