/**
 * The upstreams' side: connections, attempts and the reading of their answers.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.upstream;
