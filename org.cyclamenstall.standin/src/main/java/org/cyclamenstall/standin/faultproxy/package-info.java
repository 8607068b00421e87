/**
 * A TCP relay that injects faults.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.faultproxy;
