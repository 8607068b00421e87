/**
 * Creation, startup and graceful shutdown of a daemon.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.daemon;
