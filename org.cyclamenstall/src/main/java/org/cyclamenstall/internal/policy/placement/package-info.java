/**
 * Placing requests on upstreams that queue by themselves: what each upstream is expected
 * to cost a request, whether it is trusted, and how often a request may be sent again.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.placement;
