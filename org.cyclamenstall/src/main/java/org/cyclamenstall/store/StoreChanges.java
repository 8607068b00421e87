package org.cyclamenstall.store;

import java.util.List;

/**
 * Holds changes of the store in their order. Immutable.
 *
 * @param changes the changes
 * @param index the index to continue from
 */
public record StoreChanges(List<StoreChange> changes, long index) {

}
