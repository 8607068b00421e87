/**
 * Stand-ins for the systems around the daemons, for tests and demonstrations.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin;
