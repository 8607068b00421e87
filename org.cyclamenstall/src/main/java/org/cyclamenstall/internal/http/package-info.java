/**
 * Blocking HTTP client for calls to the configuration store, the host list and operator
 * ports.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.http;
