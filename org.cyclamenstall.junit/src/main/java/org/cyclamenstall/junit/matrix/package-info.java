/**
 * Runs the fault matrix, which injects each fault at each step of a request or catalogue
 * edit and checks the documented guarantees.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.junit.matrix;
