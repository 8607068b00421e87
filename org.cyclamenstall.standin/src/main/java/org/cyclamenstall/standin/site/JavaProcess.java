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
 * Runs a main class in a separate Java virtual machine with the class path of this one.
 * Standard output and standard error are redirected to files. Signals are sent only to
 * the started process, by its process identifier. Thread-safe.
 */
public final class JavaProcess implements AutoCloseable {

	/**
	 * The system property that replaces the default flags of the virtual machines,
	 * separated by spaces. Benchmarks set it.
	 */
	public static final String FLAGS_PROPERTY = "cyclamenstall.process.flags";

	private static final String DEFAULT_FLAGS = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -Xmx96m";

	private static final int EXIT_TIMEOUT_SECONDS = 60;

	private final String name;

	private final Path directory;

	private final List<String> command;

	private int startCount;

	private @Nullable Process process;

	/**
	 * Creates a process without starting it.
	 * @param name the name of the process and the prefix of its output files
	 * @param directory the directory of its output files
	 * @param mainClass the main class
	 * @param arguments the arguments
	 */
	public JavaProcess(String name, Path directory, String mainClass, List<String> arguments) {
		this.name = name;
		this.directory = directory;
		this.command = new ArrayList<>();
		this.command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		this.command.addAll(List.of(System.getProperty(FLAGS_PROPERTY, DEFAULT_FLAGS).split(" ")));
		this.command.addAll(List.of("-cp", classPath(), mainClass));
		this.command.addAll(arguments);
	}

	/**
	 * Starts the process. It may be started again after it has ended.
	 */
	public synchronized void start() {
		this.startCount++;
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
	 * Waits until the process prints a line to its standard output.
	 * @param text a text that the line contains
	 * @return the first such line
	 * @throws IllegalStateException if the process exits first or does not print the line
	 * within {@link ConditionWaiter#DEFAULT_TIMEOUT}
	 */
	public String awaitLine(String text) {
		ConditionWaiter.await(() -> findLine(text).isPresent() || !isAlive(),
				() -> this.name + " did not print " + text + "\n" + standardError());
		return findLine(text).orElseThrow(() -> new IllegalStateException(
				this.name + " exited before printing " + text + "\n" + standardError()));
	}

	/**
	 * Kills the process with {@code SIGKILL} and waits until it has ended.
	 */
	public void kill() {
		startedProcess().destroyForcibly();
		awaitExit();
	}

	/**
	 * Sends {@code SIGTERM} to the process without waiting.
	 */
	public void terminate() {
		startedProcess().destroy();
	}

	/**
	 * Suspends the process with {@code SIGSTOP}.
	 */
	public void suspend() {
		signal("STOP");
	}

	/**
	 * Resumes a suspended process with {@code SIGCONT}.
	 */
	public void resume() {
		signal("CONT");
	}

	/**
	 * Waits up to one minute until the process has exited.
	 * @return the exit code
	 * @throws IllegalStateException if the process has not exited by then
	 */
	public int awaitExit() {
		try {
			if (!startedProcess().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException(this.name + " did not exit in time\n" + standardError());
			}
			return startedProcess().exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns whether the process is running.
	 * @return {@code true} if it was started and has not ended
	 */
	public synchronized boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Returns the process identifier of the latest start.
	 * @return the process identifier
	 */
	public long pid() {
		return startedProcess().pid();
	}

	/**
	 * Returns the standard error output of the latest start.
	 * @return the text
	 */
	public String standardError() {
		return read(errorFile());
	}

	@Override
	public void close() {
		if (isAlive()) {
			kill();
		}
	}

	private synchronized Process startedProcess() {
		if (this.process == null) {
			throw new IllegalStateException(this.name + " has not been started");
		}
		return this.process;
	}

	private void signal(String signal) {
		try {
			int exitCode = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
			if (exitCode != 0) {
				throw new IllegalStateException(
						"kill -" + signal + " of " + this.name + " failed with exit code " + exitCode);
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

	private Optional<String> findLine(String text) {
		return read(outputFile()).lines().filter((line) -> line.contains(text)).findFirst();
	}

	private synchronized Path outputFile() {
		return this.directory.resolve(this.name + "-" + this.startCount + ".out");
	}

	private synchronized Path errorFile() {
		return this.directory.resolve(this.name + "-" + this.startCount + ".err");
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
		String surefireClassPath = System.getProperty("surefire.test.class.path");
		return (surefireClassPath != null) ? surefireClassPath : System.getProperty("java.class.path");
	}

}
