package org.cyclamenstall.internal.logging;

import java.util.function.Consumer;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.cyclamenstall.settings.LogSettings;

/**
 * Sets up the logs of a process: messages on standard error, as JSON objects or for
 * reading on a console, and events on standard output, one JSON object a line.
 */
public final class LogSetup {

	private static final String EVENT_LOGGER = "cyclamenstall.events";

	private static final String MESSAGES = "messages";

	private static final String WAITING_MESSAGES = "waiting-messages";

	private static final String EVENTS = "events";

	private static final int WAITING_MESSAGES_LENGTH = 512;

	private static final String TIME = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC}";

	private static final String CONSOLE_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{1} - %msg%n%ex";

	private static final String EVENT_PATTERN = "{\"time\":\"" + TIME + "\",%msg}%n";

	private static final String MESSAGE_PATTERN = "{\"time\":\"" + TIME
			+ "\",\"event\":\"message\",\"level\":\"%level\",\"logger\":\"%logger{1}\","
			+ "\"message\":\"%enc{%msg}{JSON}\",\"exception\":\"%enc{%ex{20}}{JSON}\"}%n%ex{0}";

	private LogSetup() {
	}

	/**
	 * Applies the settings to the whole process.
	 * @param settings the form of the logs
	 */
	public static void apply(LogSettings settings) {
		ConfigurationBuilder<BuiltConfiguration> builder = builder(settings.level(), MESSAGES);
		AppenderComponentBuilder messages = console(builder, MESSAGES, ConsoleAppender.Target.SYSTEM_ERR);
		builder.add(messages.add(layout(builder, settings)));
		Configurator.reconfigure(builder.build());
	}

	/**
	 * Sends messages and events to standard output, one JSON object a line. Messages that
	 * find standard output standing still are dropped: nothing waits for it.
	 */
	public static void applyLines() {
		ConfigurationBuilder<BuiltConfiguration> builder = builder(LogSettings.DEFAULTS.level(), WAITING_MESSAGES);
		AppenderComponentBuilder messages = console(builder, MESSAGES, ConsoleAppender.Target.SYSTEM_OUT);
		builder.add(messages.add(pattern(builder, MESSAGE_PATTERN)));
		builder.add(builder.newAppender(WAITING_MESSAGES, "Async")
			.addAttribute("blocking", false)
			.addAttribute("bufferSize", WAITING_MESSAGES_LENGTH)
			.addComponent(builder.newAppenderRef(MESSAGES)));
		Configurator.reconfigure(builder.build());
	}

	/**
	 * Returns what writes events.
	 * @return takes the fields of an event as JSON, without braces
	 */
	public static Consumer<String> eventSink() {
		Logger events = LogManager.getLogger(EVENT_LOGGER);
		return (fields) -> events.info("{}", fields);
	}

	private static ConfigurationBuilder<BuiltConfiguration> builder(String level, String rootAppender) {
		ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
		AppenderComponentBuilder events = console(builder, EVENTS, ConsoleAppender.Target.SYSTEM_OUT);
		builder.add(events.add(pattern(builder, EVENT_PATTERN)));
		builder.add(builder.newLogger("org.xnio", Level.WARN));
		builder.add(builder.newLogger("io.undertow", Level.WARN));
		builder.add(builder.newLogger("org.hibernate.validator", Level.WARN));
		builder.add(builder.newLogger("org.apache.thrift", Level.WARN));
		builder.add(builder.newLogger(EVENT_LOGGER, Level.INFO)
			.addAttribute("additivity", false)
			.add(builder.newAppenderRef(EVENTS)));
		builder.add(builder.newRootLogger(Level.toLevel(level)).add(builder.newAppenderRef(rootAppender)));
		builder.setStatusLevel(Level.ERROR);
		return builder;
	}

	private static AppenderComponentBuilder console(ConfigurationBuilder<BuiltConfiguration> builder, String name,
			ConsoleAppender.Target target) {
		return builder.newAppender(name, "Console").addAttribute("target", target);
	}

	private static LayoutComponentBuilder layout(ConfigurationBuilder<BuiltConfiguration> builder,
			LogSettings settings) {
		if (settings.format().equals("json")) {
			return builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", "classpath:EcsLayout.json");
		}
		return pattern(builder, CONSOLE_PATTERN);
	}

	private static LayoutComponentBuilder pattern(ConfigurationBuilder<BuiltConfiguration> builder, String pattern) {
		return builder.newLayout("PatternLayout").addAttribute("pattern", pattern);
	}

}
