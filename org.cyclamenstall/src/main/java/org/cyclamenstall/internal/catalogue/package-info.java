/**
 * The catalogue in force on a daemon, its synchronization with the store and its edits.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.catalogue;
