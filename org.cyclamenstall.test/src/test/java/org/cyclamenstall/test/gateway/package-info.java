/**
 * Tests of the callers' side against scripted upstreams.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.gateway;
