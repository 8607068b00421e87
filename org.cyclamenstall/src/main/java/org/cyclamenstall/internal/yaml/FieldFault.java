package org.cyclamenstall.internal.yaml;

/**
 * Names a field that fails a check beyond its own constraints. Immutable.
 *
 * @param field the path of the field, with dots
 * @param message what is wrong and what is allowed
 */
public record FieldFault(String field, String message) {

}
