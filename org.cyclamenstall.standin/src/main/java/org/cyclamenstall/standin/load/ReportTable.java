package org.cyclamenstall.standin.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * Prints run reports as tables. Not thread-safe.
 */
final class ReportTable {

	private static final double PERCENT = 100;

	private final PrintStream output;

	ReportTable(PrintStream output) {
		this.output = output;
	}

	void print(RunReport report) {
		printLine("%n%s policy=%s seed=%d commit=%s", report.scenario(), report.policy(), report.seed(),
				report.commit());
		printLine("%-18s %6s %6s | %8s %8s %8s | %8s %8s %9s | %8s %8s | %7s %7s | %9s", "class", "sent", "whole",
				"attained", "window", "outside", "first50", "first99", "first99.9", "win99", "out99", "gap50", "gap99",
				"longest");
		report.classes().forEach(this::print);
		printLine(
				"goodput %.0f tokens/s (window %.0f, outside %.0f); wasted %s; attempts/request %s, of them resumed %s; engines %s",
				report.goodputTokens(), report.windowGoodputTokens(), report.outsideGoodputTokens(),
				percent(report.wastedShare()), ratio(report.attemptsPerRequest()), ratio(report.resumesPerRequest()),
				report.engines());
		printLine("sent late by p50 %.1f, p99 %.1f, at most %.1f ms; machine load %.1f on %d processors",
				report.sendingDelay().p50(), report.sendingDelay().p99(), report.sendingDelay().maximum(),
				report.machineLoad(), Runtime.getRuntime().availableProcessors());
		report.classes().forEach((classReport) -> printLine("  %s: %s", classReport.name(), classReport.ends()));
		report.accounts()
			.stream()
			.filter((account) -> account.limitOfTenSeconds() != null)
			.forEach((account) -> printLine("  account %s: %d sent, %d admitted, %d attained, busiest 10 s %d of %.0f",
					account.name(), account.sent(), account.admitted(), account.attained(), account.busiestTenSeconds(),
					account.limitOfTenSeconds()));
		printAccountsWithoutLimit(report.accounts());
	}

	private void printAccountsWithoutLimit(List<AccountReport> accounts) {
		List<AccountReport> unlimited = accounts.stream()
			.filter((account) -> account.limitOfTenSeconds() == null)
			.toList();
		long sent = unlimited.stream().mapToLong(AccountReport::sent).sum();
		long attained = unlimited.stream().mapToLong(AccountReport::attained).sum();
		printLine("  accounts without a limit: %d sent, %d attained (%s)", sent, attained,
				percent((sent > 0) ? Double.valueOf((double) attained / sent) : null));
	}

	private void print(ClassReport report) {
		ClassReport.RequestSummary all = report.all();
		printLine("%-18s %6d %6d | %8s %8s %8s | %8.0f %8.0f %9.0f | %8.0f %8.0f | %7.0f %7.0f | %9.0f", report.name(),
				all.sent(), all.whole(), percent(all.attainment()), percent(report.window().attainment()),
				percent(report.outside().attainment()), all.firstToken().p50(), all.firstToken().p99(),
				all.firstToken().p999(), report.window().firstToken().p99(), report.outside().firstToken().p99(),
				report.tokenGap().p50(), report.tokenGap().p99(), all.longestWait());
	}

	private void printLine(String pattern, Object... values) {
		this.output.println(format(pattern, values));
	}

	private static String ratio(@Nullable Double value) {
		return (value != null) ? format("%.3f", value) : "-";
	}

	private static String percent(@Nullable Double share) {
		return (share != null) ? format("%.2f%%", share * PERCENT) : "-";
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
