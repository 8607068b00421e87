/**
 * Interface to the API through which the platform accepts usage reports and orders of
 * upstreams.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.control;
