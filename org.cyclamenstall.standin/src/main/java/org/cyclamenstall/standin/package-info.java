/**
 * Stand-ins that simulate the outside systems of the daemons, for tests and
 * demonstrations.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin;
