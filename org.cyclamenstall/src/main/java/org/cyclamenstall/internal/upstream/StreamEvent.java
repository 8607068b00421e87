package org.cyclamenstall.internal.upstream;

import org.jspecify.annotations.Nullable;

/**
 * Holds one checked event of a stream. The array must not be changed.
 *
 * @param bytes the event as the caller gets it
 * @param tokens the generated tokens that it carries
 * @param id its identifier, or {@code null} if it has none
 */
public record StreamEvent(byte[] bytes, int tokens, @Nullable String id) {

}
