/**
 * Tests of the promises with real processes.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.integration;
