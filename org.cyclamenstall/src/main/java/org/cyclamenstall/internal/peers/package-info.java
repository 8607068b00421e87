/**
 * Exchange of state with the other daemons over Thrift, and the membership derived from
 * it.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.peers;
