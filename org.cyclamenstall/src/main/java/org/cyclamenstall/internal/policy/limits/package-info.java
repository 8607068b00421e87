/**
 * Fleet-wide rate and concurrency limits and their division among the daemons.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.limits;
