/**
 * Tests of the error kinds and their responses.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.errors;
