/**
 * Lifecycle and registry of the services of a daemon, and their clocks.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.kernel;
