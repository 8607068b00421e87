/**
 * Interface to the platform's list of live and leaving hosts.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.hosts;
