/**
 * A deployment on one machine: daemons in processes of their own, stand-ins and fault
 * proxies.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.site;
