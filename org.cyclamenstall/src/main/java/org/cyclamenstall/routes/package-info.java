/**
 * Routes of deployments with a single versioned configuration.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.routes;
