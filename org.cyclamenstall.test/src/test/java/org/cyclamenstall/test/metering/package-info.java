/**
 * Tests of the metering of requests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.metering;
