/**
 * The routes in force: what a deployment with one versioned configuration serves.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.routes;
