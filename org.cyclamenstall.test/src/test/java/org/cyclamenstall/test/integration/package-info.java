/**
 * Integration tests of the delivery guarantees against real daemon processes.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.test.integration;
