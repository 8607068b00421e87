/**
 * Tests of the HTTP clients of the daemon.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.http;
