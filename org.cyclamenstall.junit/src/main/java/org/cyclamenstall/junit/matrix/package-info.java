/**
 * The cells of the fault matrix: a fault at a step of a request or of an edit.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.junit.matrix;
