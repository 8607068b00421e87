/**
 * Tests of the event log.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.events;
