/**
 * Tests of the election of the leader.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.leadership;
