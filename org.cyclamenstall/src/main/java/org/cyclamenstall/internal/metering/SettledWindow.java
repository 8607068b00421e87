package org.cyclamenstall.internal.metering;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Counts of a window as they are settled in the store, for all time. Immutable.
 *
 * @param window the number of the window
 * @param requestsByAccount the requests that upstreams began, by client account
 */
record SettledWindow(long window, Map<String, Long> requestsByAccount) {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	byte[] encode() {
		try {
			return mapper.writeValueAsBytes(new SettledWindow(this.window, new TreeMap<>(this.requestsByAccount)));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not encode window " + this.window, ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param record the record
	 * @return the window, or {@code null} if the record is unreadable
	 */
	static @Nullable SettledWindow decode(StoreRecord record) {
		try {
			return mapper.readValue(record.value(), SettledWindow.class);
		}
		catch (IOException ex) {
			return null;
		}
	}

}
