/**
 * Tests of the placement of requests on upstreams.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.placement;
