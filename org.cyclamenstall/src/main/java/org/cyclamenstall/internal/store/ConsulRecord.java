package org.cyclamenstall.internal.store;

import java.util.Base64;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Maps one record of a response of the Consul key-value endpoint. Immutable.
 *
 * @param key the key
 * @param value the Base64-encoded value, or {@code null} if it is empty
 * @param modifyIndex the index of the last write
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ConsulRecord(@JsonProperty("Key") String key, @JsonProperty("Value") @Nullable String value,
		@JsonProperty("ModifyIndex") long modifyIndex) {

	StoreRecord toStoreRecord() {
		byte[] bytes = (this.value != null) ? Base64.getDecoder().decode(this.value) : new byte[0];
		return new StoreRecord(this.key, bytes, this.modifyIndex);
	}

}
