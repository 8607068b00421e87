/**
 * A caller that calls a daemon as a client account does.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.caller;
