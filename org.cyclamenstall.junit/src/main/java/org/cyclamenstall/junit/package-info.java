/**
 * Test doubles, fixtures and assertions shared by the test modules.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.junit;
