/**
 * The micro-kernel: services that find each other by name, and their orderly closing.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.kernel;
