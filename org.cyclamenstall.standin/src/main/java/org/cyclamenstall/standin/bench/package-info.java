/**
 * Trials of the decisions in virtual time, and their cost.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.bench;
