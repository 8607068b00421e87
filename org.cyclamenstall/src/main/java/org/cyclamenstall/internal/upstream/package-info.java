/**
 * HTTP client for upstreams: connections, attempts, and the parsing and validation of
 * responses.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.upstream;
