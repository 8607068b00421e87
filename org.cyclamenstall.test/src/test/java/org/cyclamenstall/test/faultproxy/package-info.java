/**
 * Tests of the fault proxy.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.faultproxy;
