/**
 * API of the traffic controller: admission, scheduling, upstream selection and retries.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.policy;
