/**
 * Tests of the exchange of state between daemons.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.peers;
