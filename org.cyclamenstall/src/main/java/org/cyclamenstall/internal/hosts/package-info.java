/**
 * The adapter of the platform's list of hosts.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.hosts;
