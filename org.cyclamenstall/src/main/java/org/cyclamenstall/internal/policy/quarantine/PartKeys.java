package org.cyclamenstall.internal.policy.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.kernel.StableHash;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;

/**
 * Computes the keys of prompt parts and crashes, which are shorter than their names and
 * the same on all daemons. Stateless and thread-safe.
 */
final class PartKeys {

	private PartKeys() {
	}

	/**
	 * Returns the keys of the parts that other requests may share.
	 * @param service the upstream service, which runs the prompt
	 * @param prompt the prompt
	 * @return the keys in the order of the parts
	 */
	static List<Long> of(String service, PromptShape prompt) {
		List<Long> keys = new ArrayList<>();
		for (PromptPart part : prompt.shareableParts()) {
			keys.add(of(service, part));
		}
		return keys;
	}

	static long of(String service, PromptPart part) {
		return StableHash.of(service + "/" + part.id());
	}

	/**
	 * Returns the key of the crash that ends a run of an upstream.
	 * @param upstream the upstream
	 * @return the key
	 */
	static long ofCrash(ListedHost upstream) {
		return StableHash.of(upstream.host() + "/" + upstream.incarnation());
	}

}
