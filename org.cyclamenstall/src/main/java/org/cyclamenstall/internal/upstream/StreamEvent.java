package org.cyclamenstall.internal.upstream;

import org.jspecify.annotations.Nullable;

/**
 * Validated event of a stream. The array must not be changed.
 *
 * @param bytes the event as it is sent to the caller
 * @param tokens the number of generated tokens in the event
 * @param id the identifier of the event, or {@code null} if it has none
 */
public record StreamEvent(byte[] bytes, int tokens, @Nullable String id) {

}
