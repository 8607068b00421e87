package org.cyclamenstall.internal.operators;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.catalogue.EditSummary;
import org.cyclamenstall.internal.yaml.FieldError;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.cyclamenstall.peers.Member;
import org.jspecify.annotations.Nullable;

/**
 * Response bodies of the operator API.
 */
public final class OperatorResponses {

	private OperatorResponses() {
	}

	/**
	 * Status of a daemon.
	 *
	 * @param host the name of its host
	 * @param failureDomain its failure domain
	 * @param incarnation its start time in milliseconds since the epoch
	 * @param ready whether it accepts requests
	 * @param reason why it does not accept requests, or empty if it does
	 * @param catalogueRevision the revision of the active catalogue
	 * @param catalogueDigest the hash of the active catalogue, in hexadecimal
	 * @param liveHosts the number of live daemons that it knows
	 */
	public record Status(String host, String failureDomain, long incarnation, boolean ready, String reason,
			long catalogueRevision, String catalogueDigest, long liveHosts) {

	}

	/**
	 * List of the daemons.
	 *
	 * @param hosts the daemons
	 */
	public record Hosts(List<Member> hosts) {

	}

	/**
	 * List of the upstreams.
	 *
	 * @param upstreams the upstreams
	 */
	public record Upstreams(List<UpstreamRow> upstreams) {

	}

	/**
	 * List of the catalogue entries.
	 *
	 * @param revision the revision of the active catalogue
	 * @param entries the entries sorted by name, without tombstones
	 */
	public record Listing(long revision, List<CatalogueRecord> entries) {

	}

	/**
	 * Edit history of a catalogue entry.
	 *
	 * @param name the name of the entry
	 * @param edits the retained edits, latest first
	 */
	public record History(String name, List<EditSummary> edits) {

	}

	/**
	 * Hosts on which a revision is active.
	 *
	 * @param revision the revision
	 * @param inForce the live hosts on which it is active
	 * @param pending the live hosts on which it is not known to be active
	 */
	public record InForce(long revision, List<String> inForce, List<String> pending) {

	}

	/**
	 * Result of an accepted edit.
	 *
	 * @param name the name of the entry
	 * @param revision the revision of the edit
	 * @param editId the identifier of the edit
	 * @param inForce the live hosts on which it is active
	 * @param pending the live hosts on which it is not known to be active
	 * @param warnings the fields that are valid but probably unintended
	 */
	public record Accepted(String name, long revision, String editId, List<String> inForce, List<String> pending,
			List<FieldError> warnings) {

	}

	/**
	 * Error response.
	 *
	 * @param error the error
	 */
	public record Failure(ErrorBody error) {

	}

	/**
	 * Details of an error.
	 *
	 * @param kind the code of the error kind
	 * @param outcome whether the request was executed, as the label of an outcome
	 * @param message the error message
	 * @param problems the validation errors of an invalid entry
	 * @param winner after a conflict, the current record of the entry
	 */
	@JsonInclude(JsonInclude.Include.NON_EMPTY)
	public record ErrorBody(String kind, String outcome, String message,
			@JsonProperty("problems") @Nullable List<YamlProblem> problems, @Nullable CatalogueRecord winner) {

	}

}
