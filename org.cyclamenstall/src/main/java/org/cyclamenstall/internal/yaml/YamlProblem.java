package org.cyclamenstall.internal.yaml;

/**
 * Problem of a document, with its location. Immutable.
 *
 * @param line the line number, from 1
 * @param field the path of the field, separated by dots; empty for the whole document
 * @param message the problem and, if useful, the allowed values
 */
public record YamlProblem(int line, String field, String message) {

}
