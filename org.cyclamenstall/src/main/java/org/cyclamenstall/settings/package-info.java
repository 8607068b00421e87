/**
 * The checked settings of a daemon.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.settings;
