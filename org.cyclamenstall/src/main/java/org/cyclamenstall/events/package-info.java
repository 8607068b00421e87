/**
 * Events that a daemon logs for operators: every decision on a request and every change
 * of the state on which decisions are based.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.events;
