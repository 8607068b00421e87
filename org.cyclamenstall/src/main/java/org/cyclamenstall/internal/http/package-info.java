/**
 * A small blocking HTTP client for control traffic.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.http;
