package org.cyclamenstall.junit;

/**
 * Defines the operations of {@link InMemoryConfigurationStore} into which faults can be
 * injected.
 */
public enum StoreOperation {

	/** Reads one record. */
	GET,

	/** Lists the records below a prefix. */
	LIST,

	/** Waits for a change of the store, then lists the records below a prefix. */
	WAIT,

	/** Creates a record that must not exist. */
	CREATE,

	/** Replaces a record of a given version. */
	SWAP,

	/** Deletes a record of a given version. */
	DELETE;

	/**
	 * Returns whether the operation changes the store.
	 * @return {@code true} for a create, swap or delete
	 */
	public boolean isWrite() {
		return this == CREATE || this == SWAP || this == DELETE;
	}

}
