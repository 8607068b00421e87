package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * An entry, or the tombstone of a deleted entry, as written by one edit. Immutable.
 *
 * @param name the name of the entry
 * @param revision the catalogue revision of the edit; unique unless the store was
 * restored to an older state
 * @param editId the identifier of the edit
 * @param operator the operator who made the edit
 * @param writtenAtMillis the time of the edit, in milliseconds since the epoch
 * @param entry the entry, or {@code null} if it was deleted
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record CatalogueRecord(String name, long revision, String editId, String operator, long writtenAtMillis,
		@Nullable CatalogueEntry entry) {

}
