/**
 * Helpers for tests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.junit;
