/**
 * Constants shared by the library and its programs.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.lib;
