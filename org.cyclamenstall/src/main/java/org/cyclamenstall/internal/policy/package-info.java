/**
 * Traffic controller that queues requests by tier and divides the slots of the upstreams
 * among the daemons.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy;
