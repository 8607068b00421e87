/**
 * Exchange of the current load among daemons: each daemon reports the work that it has at
 * the upstreams, so that all of them place requests by the load of the whole fleet.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.peers.load;
