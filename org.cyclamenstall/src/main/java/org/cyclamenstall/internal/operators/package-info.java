/**
 * The operators' port.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.operators;
