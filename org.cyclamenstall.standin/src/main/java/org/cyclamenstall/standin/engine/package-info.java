/**
 * A stand-in for a model engine with continuous batching, priorities and fault injection.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.engine;
