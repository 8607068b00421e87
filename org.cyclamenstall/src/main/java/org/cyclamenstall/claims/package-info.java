/**
 * Claims that make a named request run at most once.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.claims;
