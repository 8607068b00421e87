/**
 * Error kinds and their responses.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.errors;
