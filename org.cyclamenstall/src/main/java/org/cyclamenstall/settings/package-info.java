/**
 * Settings of a daemon with their validation constraints.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.settings;
