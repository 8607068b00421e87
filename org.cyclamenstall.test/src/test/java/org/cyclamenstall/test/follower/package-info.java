/**
 * Tests of following a watched store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.follower;
