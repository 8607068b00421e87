/**
 * Tests of the YAML reader and of the example files.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.yaml;
