/**
 * Tests of the load exchange among daemons.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.peers.load;
