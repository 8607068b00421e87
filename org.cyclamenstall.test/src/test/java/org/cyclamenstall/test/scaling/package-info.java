/**
 * Tests of the orders of upstreams.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.scaling;
