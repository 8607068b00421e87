/**
 * Common parts of the stand-ins: ports, connections and control requests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.http;
