/**
 * Tests of the checks of YAML documents.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.yaml;
