/**
 * Decisions on requests: admission, scheduling, upstream choice, retries.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.policy;
