/**
 * The traffic controller and its retry budget.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy;
