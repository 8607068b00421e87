/**
 * A stand-in for a plain service that counts its executions.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.service;
