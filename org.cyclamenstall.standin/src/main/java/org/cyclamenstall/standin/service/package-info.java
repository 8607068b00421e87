/**
 * A stand-in for a plain service that counts the executions of each request.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.service;
