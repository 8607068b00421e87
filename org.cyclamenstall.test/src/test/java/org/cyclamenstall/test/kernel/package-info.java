/**
 * Tests of the services that all other packages use.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.kernel;
