package org.cyclamenstall.internal.yaml;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a text into its YAML documents. Stateless.
 */
public final class YamlDocuments {

	private static final String SEPARATOR = "---";

	private YamlDocuments() {
	}

	/**
	 * Splits a text at its document separators. Each document is prefixed with one empty
	 * line for each line of the text before it, so that its line numbers are those of the
	 * text. Documents without content are omitted.
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
			boolean isSeparator = line.startsWith(SEPARATOR);
			if (isSeparator) {
				addDocument(documents, document, hasContent);
				document = new StringBuilder("\n".repeat(lineNumber - 1));
				hasContent = false;
			}
			document.append(line).append('\n');
			hasContent |= isContent(isSeparator ? line.substring(SEPARATOR.length()) : line);
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
