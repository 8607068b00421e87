/**
 * HTTP API for operators of a daemon.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.operators;
