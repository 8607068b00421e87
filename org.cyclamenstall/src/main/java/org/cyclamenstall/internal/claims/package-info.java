/**
 * Claims of requests with an idempotency key in the platform's store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.claims;
