/**
 * Tests of the operator port and the command-line tool.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.operators;
