/**
 * Implementation of the traffic controller.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy;
