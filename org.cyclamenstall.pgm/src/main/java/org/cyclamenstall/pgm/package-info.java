/**
 * Main classes of the daemon and of the command-line tool.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.pgm;
