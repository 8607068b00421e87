package org.cyclamenstall.internal.yaml;

/**
 * Validation error of a field that its declared constraints do not cover, for example a
 * conflict with another field. Immutable.
 *
 * @param field the path of the field, separated by dots
 * @param message the error and, if useful, the allowed values
 */
public record FieldError(String field, String message) {

}
