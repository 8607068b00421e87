/**
 * The assembly of a daemon from its services, and its orderly end.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.daemon;
