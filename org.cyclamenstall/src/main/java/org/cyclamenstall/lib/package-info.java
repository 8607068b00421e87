/**
 * Constants shared by the library and the programs that use it.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.lib;
