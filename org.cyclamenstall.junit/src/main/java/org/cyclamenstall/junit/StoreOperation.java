package org.cyclamenstall.junit;

/**
 * Lists the operations of {@link InMemoryConfigurationStore} that can be made to fail.
 */
public enum StoreOperation {

	/** Reading one record. */
	GET,

	/** Listing a prefix. */
	LIST,

	/** Waiting for a change below a prefix. */
	WAIT,

	/** Creating a record. */
	CREATE,

	/** Replacing a record. */
	SWAP,

	/** Deleting a record. */
	DELETE;

	/**
	 * Returns whether the operation changes the store.
	 * @return {@code true} for a write
	 */
	public boolean isWrite() {
		return this == CREATE || this == SWAP || this == DELETE;
	}

}
