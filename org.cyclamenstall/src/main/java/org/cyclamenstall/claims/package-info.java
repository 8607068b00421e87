/**
 * Claims, which ensure that a request with an idempotency key is executed at most once.
 * An attempt in this package is one submission of such a request by its caller,
 * identified by its request identifier. The claimant is the daemon that claimed the
 * attempt.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.claims;
