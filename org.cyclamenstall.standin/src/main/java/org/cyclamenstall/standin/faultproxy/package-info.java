/**
 * TCP proxy that injects network faults.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.faultproxy;
