/**
 * Claims of named requests in the platform's store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.claims;
