/**
 * Tests of the error table.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.errors;
