/**
 * State of upstreams, selection among them, and limits of their concurrent requests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.upstream;
