package org.cyclamenstall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;

/**
 * Creates sample catalogues of a given size. Stateless.
 */
final class SampleCatalogue {

	private static final int SERVICES = 50;

	private static final Limits ACCOUNT_LIMITS = new Limits(20.0, 30, 20_000.0, null, null, null);

	private static final Limits SERVICE_LIMITS = new Limits(null, null, null, 5.0, 60.0, 262_144);

	private SampleCatalogue() {
	}

	/**
	 * Creates the records of a catalogue with 50 services and a number of client
	 * accounts.
	 * @param accounts the number of client accounts
	 * @return the records in ascending order of revision
	 */
	static List<CatalogueRecord> records(int accounts) {
		List<CatalogueRecord> records = new ArrayList<>();
		for (int number = 0; number < SERVICES; number++) {
			records.add(record(service(number), records.size() + 1));
		}
		for (int number = 0; number < accounts; number++) {
			records.add(record(account(number, 0), records.size() + 1));
		}
		return records;
	}

	static CatalogueRecord record(CatalogueEntry entry, long revision) {
		return new CatalogueRecord(entry.name(), revision, DigestUtils.md5Hex(entry.name() + revision), "operator",
				System.currentTimeMillis(), entry);
	}

	static CatalogueEntry account(int number, int edit) {
		return new CatalogueEntry("account-" + number, EntryKind.ACCOUNT, "Owner " + edit, Tier.INTERACTIVE,
				ACCOUNT_LIMITS, null, null, null, null, null, null, null, null, null,
				List.of(DigestUtils.sha256Hex("key-" + number), DigestUtils.sha256Hex("second-key-" + number)),
				Set.of("service-1", "service-2", "service-3", "service-4"));
	}

	private static CatalogueEntry service(int number) {
		return new CatalogueEntry("service-" + number, EntryKind.SERVICE, "Owner", Tier.STANDARD, SERVICE_LIMITS,
				"ghiseu", null, null, null, null, "/service-" + number, Set.of("GET", "HEAD"), null, null, null, null);
	}

}
