/**
 * What a daemon tells on-call engineers: every decision on a request and every change of
 * what the daemon believes.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.events;
