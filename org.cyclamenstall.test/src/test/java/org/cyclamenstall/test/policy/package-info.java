/**
 * Tests of request admission, scheduling, upstream selection and retries.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.policy;
