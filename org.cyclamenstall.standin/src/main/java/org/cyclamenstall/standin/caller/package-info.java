/**
 * Client that calls a daemon on behalf of a client account.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.caller;
