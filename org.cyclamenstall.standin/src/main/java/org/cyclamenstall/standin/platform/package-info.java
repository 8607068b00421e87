/**
 * Stand-ins for the services of the platform: the key-value store and the host list.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.platform;
