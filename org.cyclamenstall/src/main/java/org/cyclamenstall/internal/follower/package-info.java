/**
 * Following a watched store: what it says, since when it is silent, how fresh it is.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.follower;
