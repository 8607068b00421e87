/**
 * Tests of the operators' port and the command line.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.operators;
