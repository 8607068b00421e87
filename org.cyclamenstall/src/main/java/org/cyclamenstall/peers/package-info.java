/**
 * Membership of the daemons of one deployment.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.peers;
