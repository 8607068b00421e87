/**
 * The catalogue replica of a daemon, its synchronization with the store, and catalogue
 * edits.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.catalogue;
