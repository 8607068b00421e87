/**
 * The state, the choice and the windows of upstreams.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.upstream;
