package org.cyclamenstall.internal.yaml;

/**
 * Names one fault of a document. Immutable.
 *
 * @param line the line, from 1
 * @param field the path of the field, with dots; empty for the whole document
 * @param message what is wrong and what is allowed
 */
public record YamlProblem(int line, String field, String message) {

}
