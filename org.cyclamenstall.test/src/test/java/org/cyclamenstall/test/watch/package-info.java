/**
 * Tests of the store watcher.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.watch;
