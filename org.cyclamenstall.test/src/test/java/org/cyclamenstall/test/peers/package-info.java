/**
 * Tests of the exchange among daemons.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.peers;
