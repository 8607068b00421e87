/**
 * Claims, which ensure that a request with an idempotency key is executed at most once.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.claims;
