/**
 * Orders of upstreams from the platform: how many of each kind, and where.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.scaling;
