package org.cyclamenstall.standin.platform;

/**
 * Holds one value of the store. The array is not copied and must not be changed.
 *
 * @param value the value in bytes
 * @param createIndex the index of the write that created it
 * @param modifyIndex the index of the last write
 */
record StoredValue(byte[] value, long createIndex, long modifyIndex) {

}
