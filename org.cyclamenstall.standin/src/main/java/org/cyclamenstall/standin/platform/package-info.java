/**
 * Stand-ins for the platform: the key-value service and the list of hosts.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.platform;
