/**
 * The catalogue of models, services and client accounts, and its replica on a daemon.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.catalogue;
