/**
 * Benchmarks of the gateway, the catalogue, the peer exchange and the traffic policies,
 * including simulated trials of the policies in virtual time.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.bench;
