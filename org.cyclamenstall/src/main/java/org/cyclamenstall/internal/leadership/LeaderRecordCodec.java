package org.cyclamenstall.internal.leadership;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.leadership.Leader;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Converts the record of the leader to JSON and back. Stateless and thread-safe.
 */
final class LeaderRecordCodec {

	private static final Logger logger = LogManager.getLogger(LeaderRecordCodec.class);

	private final JsonMapper mapper = JsonMapper.builder().build();

	byte[] encode(Leader leader) {
		try {
			return this.mapper.writeValueAsBytes(leader);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not encode the record of the leader", ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param record the record, or {@code null} for none
	 * @return the leader, or {@code null} if there is none or the record is unreadable
	 */
	@Nullable Leader decode(@Nullable StoreRecord record) {
		if (record == null) {
			return null;
		}
		try {
			return this.mapper.readValue(record.value(), Leader.class);
		}
		catch (IOException ex) {
			logger.warn("The record {} of the leader is unreadable", record.key(), ex);
			return null;
		}
	}

}
