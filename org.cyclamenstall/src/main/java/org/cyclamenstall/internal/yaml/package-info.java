/**
 * Reading of YAML documents with checks that name file, line and field.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.yaml;
