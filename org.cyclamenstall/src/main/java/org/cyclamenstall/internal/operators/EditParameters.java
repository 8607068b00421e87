package org.cyclamenstall.internal.operators;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Holds what an operator sends with an edit. Immutable.
 *
 * @param editId the identifier of the edit, or {@code null} to make one
 * @param operator who makes the edit
 * @param expectedRevision the revision that the entry must have, or {@code null} for any
 * @param longestWait how long to wait until the edit is in force on all live hosts
 */
record EditParameters(@Nullable String editId, String operator, @Nullable Long expectedRevision, Duration longestWait) {

}
