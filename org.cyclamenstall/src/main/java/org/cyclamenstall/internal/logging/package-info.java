/**
 * Set-up of structured logs.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.logging;
