/**
 * Daemons and stand-ins as one deployment of real processes.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.site;
