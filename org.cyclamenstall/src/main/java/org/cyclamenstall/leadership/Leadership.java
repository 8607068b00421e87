package org.cyclamenstall.leadership;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * States whether this daemon leads the fleet, and who does otherwise. The leader does the
 * work that only one daemon may do at a time. Thread-safe.
 */
public interface Leadership {

	/**
	 * Returns the fencing token of this daemon if it leads and certainly still does so
	 * when a call that is sent now has ended.
	 * @param callTime the maximum time until the call has ended
	 * @return the token, which is higher than those of all earlier leaders; empty if this
	 * daemon must not act
	 */
	OptionalLong tokenFor(Duration callTime);

	/**
	 * Returns the leader as this daemon knows it, which may be this daemon.
	 * @return the leader; empty if there is none or it is not known
	 */
	Optional<Leader> leader();

	/**
	 * Gives up the leadership because a call with a token was refused for a higher one.
	 * Has no effect for a token that is no longer in use.
	 * @param token the refused token
	 */
	void recordRefusedToken(long token);

}
