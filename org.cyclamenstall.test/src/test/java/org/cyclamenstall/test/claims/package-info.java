/**
 * Tests of claims of requests with an idempotency key.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.claims;
