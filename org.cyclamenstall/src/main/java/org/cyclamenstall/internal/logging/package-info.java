/**
 * Configuration of structured logging.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.logging;
