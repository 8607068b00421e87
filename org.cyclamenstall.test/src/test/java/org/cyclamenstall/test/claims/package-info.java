/**
 * Tests of claims of named requests.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.claims;
