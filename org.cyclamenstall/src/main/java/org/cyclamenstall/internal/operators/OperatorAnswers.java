package org.cyclamenstall.internal.operators;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.catalogue.EditSummary;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.cyclamenstall.peers.Member;
import org.jspecify.annotations.Nullable;

/**
 * Holds the forms of the answers at the operators' port. Has no state.
 */
public final class OperatorAnswers {

	private OperatorAnswers() {
	}

	/**
	 * Sums up a daemon.
	 *
	 * @param host the name of its host
	 * @param failureDomain its failure domain
	 * @param incarnation the time of its start in milliseconds since the epoch
	 * @param ready whether it takes requests
	 * @param reason why it does not, empty if it does
	 * @param catalogueRevision the revision in force
	 * @param catalogueDigest the hash of the catalogue in force, in hexadecimal
	 * @param liveHosts the number of live daemons that it knows
	 */
	public record Status(String host, String failureDomain, long incarnation, boolean ready, String reason,
			long catalogueRevision, String catalogueDigest, long liveHosts) {

	}

	/**
	 * Lists the daemons.
	 *
	 * @param hosts the daemons
	 */
	public record Hosts(List<Member> hosts) {

	}

	/**
	 * Lists the upstreams.
	 *
	 * @param upstreams the upstreams
	 */
	public record Upstreams(List<UpstreamRow> upstreams) {

	}

	/**
	 * Lists the catalogue.
	 *
	 * @param revision the revision in force
	 * @param entries the entries in order of name, tombstones left out
	 */
	public record Listing(long revision, List<CatalogueRecord> entries) {

	}

	/**
	 * Lists the edits of an entry.
	 *
	 * @param name the name of the entry
	 * @param edits the edits that are kept, latest first
	 */
	public record History(String name, List<EditSummary> edits) {

	}

	/**
	 * Tells where a revision is in force.
	 *
	 * @param revision the revision
	 * @param inForce the live hosts on which it is in force
	 * @param pending the live hosts on which it is not known to be in force
	 */
	public record InForce(long revision, List<String> inForce, List<String> pending) {

	}

	/**
	 * Reports an accepted edit.
	 *
	 * @param name the name of the entry
	 * @param revision the revision of the edit
	 * @param editId the identifier of the edit
	 * @param inForce the live hosts on which it is in force
	 * @param pending the live hosts on which it is not known to be in force
	 * @param warnings what is allowed but probably not meant
	 */
	public record Accepted(String name, long revision, String editId, List<String> inForce, List<String> pending,
			List<FieldFault> warnings) {

	}

	/**
	 * Holds an error.
	 *
	 * @param error the error
	 */
	public record Failure(ErrorBody error) {

	}

	/**
	 * Describes an error.
	 *
	 * @param kind the code of its kind
	 * @param outcome what is known of the execution
	 * @param message the detail
	 * @param problems the faults of an invalid entry
	 * @param winner the record that came first, after a conflict
	 */
	@JsonInclude(JsonInclude.Include.NON_EMPTY)
	public record ErrorBody(String kind, String outcome, String message,
			@JsonProperty("problems") @Nullable List<YamlProblem> problems, @Nullable CatalogueRecord winner) {

	}

}
