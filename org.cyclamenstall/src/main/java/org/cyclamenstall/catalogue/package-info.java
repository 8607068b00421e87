/**
 * The catalogue of routed entries and client accounts.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.catalogue;
