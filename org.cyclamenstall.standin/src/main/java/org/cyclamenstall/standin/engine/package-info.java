/**
 * A stand-in for a model engine with continuous batching.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.engine;
