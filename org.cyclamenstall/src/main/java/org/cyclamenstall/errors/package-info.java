/**
 * The closed list of error kinds and the answer to each.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.errors;
