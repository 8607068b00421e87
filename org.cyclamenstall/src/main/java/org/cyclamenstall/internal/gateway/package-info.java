/**
 * The callers' side: receives requests, runs them through their attempts and answers.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.gateway;
