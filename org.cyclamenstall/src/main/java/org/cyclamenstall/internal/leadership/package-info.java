/**
 * Election of the leader of the fleet by a lease on the store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.leadership;
