/**
 * Tests of the placement of requests, each with the load that it answers.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.placement;
