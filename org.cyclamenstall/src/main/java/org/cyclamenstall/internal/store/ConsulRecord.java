package org.cyclamenstall.internal.store;

import java.util.Base64;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Mirrors one record in an answer of the key-value service. Immutable.
 *
 * @param key the key
 * @param value the value in base64, or {@code null} if it is empty
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
