/**
 * Clocks that are read from the operating system.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.kernel;
