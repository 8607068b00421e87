/**
 * Non-blocking event log.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.events;
