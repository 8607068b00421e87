/**
 * Tests of the caller-facing HTTP server with scripted upstreams, and of request
 * priorities.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.gateway;
