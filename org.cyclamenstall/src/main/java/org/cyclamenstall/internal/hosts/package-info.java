/**
 * Adapter for the platform's list of hosts in Consul.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.hosts;
