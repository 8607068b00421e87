/**
 * Keeping the routes in force.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.routes;
