/**
 * YAML reader whose validation errors name the file, line and field.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.yaml;
