package org.cyclamenstall.internal.yaml;

/**
 * Validation error of a field that is found beyond the constraints declared on it, for
 * example by comparison with other fields. Immutable.
 *
 * @param field the path of the field, separated by dots
 * @param message the error and, if useful, the allowed values
 */
public record FieldError(String field, String message) {

}
