/**
 * Tests of the host list client.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.hosts;
