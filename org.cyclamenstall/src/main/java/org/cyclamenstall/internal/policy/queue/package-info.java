/**
 * Scheduling of queued requests by tier and client account.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.queue;
