/**
 * HTTP server, response and control request support shared by the stand-ins.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.http;
