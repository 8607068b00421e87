/**
 * The exchange of state with the other daemons over Thrift, and the membership that
 * follows from it.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.peers;
