/**
 * Quarantines prompt parts that crash upstreams: collects which parts the requests had
 * whose upstream crashed before it responded, exchanges this evidence among the daemons,
 * and refuses requests with a part that is to blame.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.policy.quarantine;
