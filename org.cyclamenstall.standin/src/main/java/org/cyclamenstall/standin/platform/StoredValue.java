package org.cyclamenstall.standin.platform;

/**
 * A value of the store. The array is not copied and must not be modified.
 *
 * @param value the bytes of the value
 * @param createIndex the index of the write that created the key
 * @param modifyIndex the index of the last write of the key
 */
record StoredValue(byte[] value, long createIndex, long modifyIndex) {

}
