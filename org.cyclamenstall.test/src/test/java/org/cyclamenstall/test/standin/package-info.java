/**
 * Tests of the stand-ins and of the scenarios of the load tool.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.standin;
