/**
 * Caller-facing HTTP server: accepts requests, executes their upstream attempts and
 * relays the responses.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.gateway;
