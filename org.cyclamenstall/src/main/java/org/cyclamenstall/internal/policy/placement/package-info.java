/**
 * Places requests on upstreams that have their own queues: estimates the cost of a
 * request at each upstream, tracks upstream health, and limits retries.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.placement;
