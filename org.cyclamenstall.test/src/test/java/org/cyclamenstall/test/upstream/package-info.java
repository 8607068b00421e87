/**
 * Tests of the parsing of upstream responses.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.upstream;
