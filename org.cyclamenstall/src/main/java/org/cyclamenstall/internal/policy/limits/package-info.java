/**
 * Fleet-wide limits and each daemon's share of them.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.limits;
