package org.cyclamenstall.internal.operators;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Parameters of a catalogue edit, from the headers and the query of the request.
 * Immutable.
 *
 * @param editId the identifier of the edit, or {@code null} to generate one
 * @param operator the name of the operator, for the edit history
 * @param expectedRevision the revision that the entry must have, or {@code null} for any
 * @param maximumWait the maximum time to wait until the edit is active on all live hosts
 */
record EditParameters(@Nullable String editId, String operator, @Nullable Long expectedRevision, Duration maximumWait) {

}
