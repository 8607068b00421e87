/**
 * The order of waiting requests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.queue;
