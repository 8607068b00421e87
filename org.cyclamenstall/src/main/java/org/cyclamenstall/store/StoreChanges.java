package org.cyclamenstall.store;

import java.util.List;

/**
 * Holds a sequence of changes of the store. Immutable.
 *
 * @param changes the changes in order
 * @param index the index to pass to the next {@link WatchedStore#changesAfter}
 */
public record StoreChanges(List<StoreChange> changes, long index) {

}
