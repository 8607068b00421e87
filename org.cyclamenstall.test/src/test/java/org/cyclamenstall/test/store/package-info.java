/**
 * Tests of the store client.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.store;
