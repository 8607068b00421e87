/**
 * Tests of the decisions on requests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.policy;
