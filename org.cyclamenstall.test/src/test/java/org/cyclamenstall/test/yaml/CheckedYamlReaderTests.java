package org.cyclamenstall.test.yaml;

import java.util.List;
import java.util.regex.Pattern;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.catalogue.CatalogueValidator;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.internal.yaml.InvalidYamlException;
import org.cyclamenstall.internal.yaml.YamlDocuments;
import org.cyclamenstall.settings.DaemonSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link CheckedYamlReader} with settings and catalogue entries.
 */
class CheckedYamlReaderTests {

	private static final String SETTINGS = """
			host: gara-1
			failureDomain: ro-central-a
			callers:
			  address: 127.0.0.1
			  port: 0
			operators:
			  address: 127.0.0.1
			  port: 0
			peers:
			  address: 127.0.0.1
			  port: 0
			  seeds:
			    - host: gara-2
			      address: 127.0.0.2
			      port: 7000
			platform:
			  store:
			    address: 127.0.0.1
			    port: 8500
			  hostList:
			    address: 127.0.0.1
			    port: 8500
			""";

	private static final String ENTRY = """
			name: orders
			kind: service
			owner: Order desk
			class: standard
			upstreams: ghiseu
			pathPrefix: /orders
			""";

	private static String settingsError(String text) {
		try {
			new CheckedYamlReader(ErrorKind.SETTINGS_INVALID).read(text, "s.yaml", DaemonSettings.class);
			return "none";
		}
		catch (InvalidYamlException ex) {
			return String.valueOf(ex.getMessage());
		}
	}

	private static String entryError(String text) {
		try {
			new CheckedYamlReader(ErrorKind.CATALOGUE_INVALID).read(text, "c.yaml", CatalogueEntry.class,
					CatalogueValidator::validate);
			return "none";
		}
		catch (InvalidYamlException ex) {
			return String.valueOf(ex.getMessage());
		}
	}

	@Nested
	class WhenSettingsAreRead {

		@ParameterizedTest
		@CsvSource(delimiter = '|',
				textBlock = """
						host: gara-1           | hosst: gara-1          | s.yaml:1: hosst: unknown field | allowed here: callers
						'  port: 0'            | '  port: many'         | s.yaml:5: callers.port:        | expected integer
						'  port: 0'            | '  port: 70000'        | s.yaml:5: callers.port:        | 65535; found '70000'
						'  port: 0'            | '  port: "80"'         | s.yaml:5: callers.port:        | integer
						'  port: 0'            | '  port: [1]'          | s.yaml:5: callers.port:        | wrong type
						'  port: 0'            | ''                     | s.yaml:3: callers.port:        | required field is missing
						host: gara-1           | ''                     | s.yaml:1: host:                | required field is missing
						'      port: 7000'     | '      port: 0'        | s.yaml:15: peers.seeds[0].port | greater than or equal to 1
						'    port: 8500'       | '    prot: 8500'       | s.yaml:19: platform.store.prot | unknown field
						'  address: 127.0.0.1' | '  address: localhost' | s.yaml:4: callers.address:     | found 'localhost'
						'failureDomain: ro'    | 'host: ro'             | s.yaml:2:                      | uplicate
						'  port: 0'            | '  port: 0: 1'         | s.yaml:5:                      | mapping values
						""")
		void theErrorNamesFileLineFieldAndAllowedValues(String valid, String invalid, String location, String allowed) {
			String text = SETTINGS.replaceFirst(Pattern.quote(valid), invalid);
			assertThat(settingsError(text), allOf(startsWith(location), containsString(allowed)));
		}

		@Test
		void allErrorsAreReported() {
			String text = SETTINGS.replace("port: 8500", "port: 99999");
			assertThat(settingsError(text),
					allOf(containsString("s.yaml:19: platform.store.port"), containsString("s.yaml:22:")));
		}

		@Test
		void validSettingsAreAcceptedAndAnEmptyDocumentIsRejected() {
			assertThat(settingsError(SETTINGS), is("none"));
			assertThat(settingsError(""), containsString("the document has no fields"));
		}

	}

	@Nested
	class WhenAnEntryIsInvalid {

		@ParameterizedTest
		@CsvSource(delimiter = '|',
				textBlock = """
										kind: service       | kind: model                 | c.yaml:6: pathPrefix: not allowed for kind model
										upstreams: ghiseu   | ''                          | c.yaml:1: upstreams: required for kind service
										class: standard     | class: gold                 | c.yaml:4: class: 'gold' is not allowed; allowed: [interactive, standard, bulk]
										upstreams: ghiseu   | 'upstreams: ghiseu
						model: x' | c.yaml:6: model: not allowed for kind service
										pathPrefix: /orders | pathPrefix: /orders/        | c.yaml:6: pathPrefix: must not end with a slash
										pathPrefix: /orders | pathPrefix: /v1             | c.yaml:6: pathPrefix: overlaps the path of model requests
										pathPrefix: /orders | 'pathPrefix: /orders
						notExecutedStatuses: [200]' | c.yaml:7: notExecutedStatuses: allowed: 400 to 599
										pathPrefix: /orders | 'pathPrefix: /orders
						limits: {tokensPerSecond: 5}' | c.yaml:7: limits.tokensPerSecond: not allowed for kind service
										""")
		void theErrorNamesTheLine(String valid, String invalid, String expected) {
			String text = ENTRY.replace(valid, invalid.replace("\\n", "\n"));
			assertThat(entryError(text), containsString(expected));
		}

		@Test
		void lineNumbersOfLaterDocumentsAreThoseOfTheFile() {
			List<String> documents = YamlDocuments
				.split("# first\n" + ENTRY + "---\n# nothing\n---\n" + ENTRY.replace("standard", "gold"));
			assertThat(documents.stream().map(CheckedYamlReaderTests::entryError).toList(),
					contains(is("none"), startsWith("c.yaml:14: class")));
		}

	}

}
