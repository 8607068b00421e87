package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Runs a main class in a Java virtual machine of its own, with the class path of this
 * one. Its output is kept in files. It is signalled by its own process identifier only.
 * Thread-safe.
 */
public final class JavaProcess implements AutoCloseable {

	/**
	 * Replaces the flags of the virtual machines, separated by spaces; benches set it.
	 */
	public static final String FLAGS_PROPERTY = "cyclamenstall.process.flags";

	private static final String TEST_FLAGS = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -Xmx96m";

	private static final int END_SECONDS = 60;

	private final String name;

	private final Path directory;

	private final List<String> command;

	private int starts;

	private @Nullable Process process;

	/**
	 * Describes a process; it is not started yet.
	 * @param name the name of its output files
	 * @param directory the directory of its output files
	 * @param mainClass the main class
	 * @param arguments the arguments
	 */
	public JavaProcess(String name, Path directory, String mainClass, List<String> arguments) {
		this.name = name;
		this.directory = directory;
		this.command = new ArrayList<>();
		this.command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		this.command.addAll(List.of(System.getProperty(FLAGS_PROPERTY, TEST_FLAGS).split(" ")));
		this.command.addAll(List.of("-cp", classPath(), mainClass));
		this.command.addAll(arguments);
	}

	/**
	 * Starts the process, also again after it ended.
	 */
	public synchronized void start() {
		this.starts++;
		try {
			this.process = new ProcessBuilder(this.command).redirectOutput(outputFile().toFile())
				.redirectError(errorFile().toFile())
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Waits for a line on the standard output.
	 * @param text a text within the line
	 * @return the line
	 */
	public String awaitLine(String text) {
		ConditionWaiter.await(() -> line(text).isPresent() || !isAlive(),
				() -> this.name + " did not print " + text + "\n" + errors());
		return line(text).orElseThrow(
				() -> new IllegalStateException(this.name + " ended before it printed " + text + "\n" + errors()));
	}

	/**
	 * Ends the process at once, as {@code kill -9} does, and waits for its end.
	 */
	public void kill() {
		running().destroyForcibly();
		awaitExit();
	}

	/**
	 * Asks the process to end, by {@code SIGTERM}.
	 */
	public void terminate() {
		running().destroy();
	}

	/**
	 * Stops the process by {@code SIGSTOP}.
	 */
	public void freeze() {
		signal("STOP");
	}

	/**
	 * Lets a stopped process go on by {@code SIGCONT}.
	 */
	public void thaw() {
		signal("CONT");
	}

	/**
	 * Waits for the end of the process.
	 * @return its exit code
	 */
	public int awaitExit() {
		try {
			if (!running().waitFor(END_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException(this.name + " did not end\n" + errors());
			}
			return running().exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns whether the process runs.
	 * @return {@code true} if it was started and did not end
	 */
	public synchronized boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Returns the process identifier.
	 * @return the identifier
	 */
	public long pid() {
		return running().pid();
	}

	/**
	 * Returns what the process wrote to its standard error.
	 * @return the text
	 */
	public String errors() {
		return read(errorFile());
	}

	@Override
	public void close() {
		if (isAlive()) {
			kill();
		}
	}

	private synchronized Process running() {
		if (this.process == null) {
			throw new IllegalStateException(this.name + " was not started");
		}
		return this.process;
	}

	private void signal(String signal) {
		try {
			int code = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
			if (code != 0) {
				throw new IllegalStateException("kill -" + signal + " of " + this.name + " failed with " + code);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private Optional<String> line(String text) {
		return read(outputFile()).lines().filter((line) -> line.contains(text)).findFirst();
	}

	private synchronized Path outputFile() {
		return this.directory.resolve(this.name + "-" + this.starts + ".out");
	}

	private synchronized Path errorFile() {
		return this.directory.resolve(this.name + "-" + this.starts + ".err");
	}

	private static String read(Path file) {
		try {
			return Files.exists(file) ? Files.readString(file) : "";
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String classPath() {
		String underTest = System.getProperty("surefire.test.class.path");
		return (underTest != null) ? underTest : System.getProperty("java.class.path");
	}

}
