/**
 * Tests of the catalogue.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.catalogue;
