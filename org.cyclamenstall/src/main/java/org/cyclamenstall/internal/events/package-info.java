/**
 * Writing events without ever waiting.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.events;
