/**
 * Tests of reading upstreams' answers.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.upstream;
