/**
 * Sub-commands of the command-line tool.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.pgm.command;
