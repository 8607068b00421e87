/**
 * The open-loop load tool.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.load;
