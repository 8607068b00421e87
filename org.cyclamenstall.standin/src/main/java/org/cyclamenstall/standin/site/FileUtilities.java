package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Deletes directories. Stateless and thread-safe.
 */
final class FileUtilities {

	private FileUtilities() {
	}

	/**
	 * Deletes a directory recursively.
	 * @param directory the directory
	 * @throws IOException if a file cannot be deleted
	 */
	static void deleteDirectory(Path directory) throws IOException {
		try (Stream<Path> files = Files.walk(directory)) {
			List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
			for (Path file : deepestFirst) {
				Files.delete(file);
			}
		}
	}

}
