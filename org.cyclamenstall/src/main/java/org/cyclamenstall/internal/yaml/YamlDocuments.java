package org.cyclamenstall.internal.yaml;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a text into its YAML documents. Has no state.
 */
public final class YamlDocuments {

	private static final String SEPARATOR = "---";

	private YamlDocuments() {
	}

	/**
	 * Splits a text at its separator lines. Each document is preceded by as many empty
	 * lines as stand before it in the text, so that its line numbers are those of the
	 * text. Documents without content are left out.
	 * @param text the text
	 * @return the documents
	 */
	public static List<String> split(String text) {
		List<String> documents = new ArrayList<>();
		StringBuilder document = new StringBuilder();
		boolean hasContent = false;
		int lineNumber = 0;
		for (String line : text.split("\\R", -1)) {
			lineNumber++;
			boolean separator = line.startsWith(SEPARATOR);
			if (separator) {
				addDocument(documents, document, hasContent);
				document = new StringBuilder("\n".repeat(lineNumber - 1));
				hasContent = false;
			}
			document.append(line).append('\n');
			hasContent |= isContent(separator ? line.substring(SEPARATOR.length()) : line);
		}
		addDocument(documents, document, hasContent);
		return documents;
	}

	private static boolean isContent(String line) {
		return !line.isBlank() && !line.strip().startsWith("#");
	}

	private static void addDocument(List<String> documents, StringBuilder document, boolean hasContent) {
		if (hasContent) {
			documents.add(document.toString());
		}
	}

}
