/**
 * The programs: the daemon and the command-line tool.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.pgm;
