/**
 * Tests of the quarantine of prompt parts that crash upstreams.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.quarantine;
