/**
 * Interface to the leadership of the fleet: which daemon does the work that one daemon
 * does for all.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.leadership;
