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
 * Configures the logging of the process. Events go to standard output, as one JSON object
 * per line. Messages go to standard error, as JSON or plain text, with {@link #apply} and
 * to standard output, in the format of the events, with {@link #applyJsonLines}.
 */
public final class LogSetup {

	private static final String EVENT_LOGGER = "cyclamenstall.events";

	private static final String MESSAGES_APPENDER = "messages";

	private static final String QUEUED_MESSAGES_APPENDER = "waiting-messages";

	private static final String EVENTS_APPENDER = "events";

	private static final int MESSAGE_QUEUE_LENGTH = 512;

	private static final String TIME_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC}";

	private static final String CONSOLE_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{1} - %msg%n%ex";

	private static final String EVENT_PATTERN = "{\"time\":\"" + TIME_PATTERN + "\",%msg}%n";

	private static final String MESSAGE_PATTERN = "{\"time\":\"" + TIME_PATTERN
			+ "\",\"event\":\"message\",\"level\":\"%level\",\"logger\":\"%logger{1}\","
			+ "\"message\":\"%enc{%msg}{JSON}\",\"exception\":\"%enc{%ex{20}}{JSON}\"}%n%ex{0}";

	private LogSetup() {
	}

	/**
	 * Configures logging of the process according to the settings.
	 * @param settings the format and level of the messages
	 */
	public static void apply(LogSettings settings) {
		ConfigurationBuilder<BuiltConfiguration> builder = builder(settings.level(), MESSAGES_APPENDER);
		AppenderComponentBuilder messages = consoleAppender(builder, MESSAGES_APPENDER,
				ConsoleAppender.Target.SYSTEM_ERR);
		builder.add(messages.add(messageLayout(builder, settings)));
		Configurator.reconfigure(builder.build());
	}

	/**
	 * Configures logging of messages and events to standard output, as one JSON object
	 * per line. Messages are queued, and dropped if the queue is full, so that threads
	 * that log a message do not wait for a blocked standard output.
	 */
	public static void applyJsonLines() {
		ConfigurationBuilder<BuiltConfiguration> builder = builder(LogSettings.DEFAULTS.level(),
				QUEUED_MESSAGES_APPENDER);
		AppenderComponentBuilder messages = consoleAppender(builder, MESSAGES_APPENDER,
				ConsoleAppender.Target.SYSTEM_OUT);
		builder.add(messages.add(patternLayout(builder, MESSAGE_PATTERN)));
		builder.add(builder.newAppender(QUEUED_MESSAGES_APPENDER, "Async")
			.addAttribute("blocking", false)
			.addAttribute("bufferSize", MESSAGE_QUEUE_LENGTH)
			.addComponent(builder.newAppenderRef(MESSAGES_APPENDER)));
		Configurator.reconfigure(builder.build());
	}

	/**
	 * Returns the sink of the event log.
	 * @return a consumer of the fields of an event as JSON, without braces
	 */
	public static Consumer<String> eventSink() {
		Logger events = LogManager.getLogger(EVENT_LOGGER);
		return (fields) -> events.info("{}", fields);
	}

	private static ConfigurationBuilder<BuiltConfiguration> builder(String level, String rootAppender) {
		ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
		AppenderComponentBuilder events = consoleAppender(builder, EVENTS_APPENDER, ConsoleAppender.Target.SYSTEM_OUT);
		builder.add(events.add(patternLayout(builder, EVENT_PATTERN)));
		builder.add(builder.newLogger("org.xnio", Level.WARN));
		builder.add(builder.newLogger("io.undertow", Level.WARN));
		builder.add(builder.newLogger("org.hibernate.validator", Level.WARN));
		builder.add(builder.newLogger("org.apache.thrift", Level.WARN));
		builder.add(builder.newLogger(EVENT_LOGGER, Level.INFO)
			.addAttribute("additivity", false)
			.add(builder.newAppenderRef(EVENTS_APPENDER)));
		builder.add(builder.newRootLogger(Level.toLevel(level)).add(builder.newAppenderRef(rootAppender)));
		builder.setStatusLevel(Level.ERROR);
		return builder;
	}

	private static AppenderComponentBuilder consoleAppender(ConfigurationBuilder<BuiltConfiguration> builder,
			String name, ConsoleAppender.Target target) {
		return builder.newAppender(name, "Console").addAttribute("target", target);
	}

	private static LayoutComponentBuilder messageLayout(ConfigurationBuilder<BuiltConfiguration> builder,
			LogSettings settings) {
		if (settings.format().equals("json")) {
			return builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", "classpath:EcsLayout.json");
		}
		return patternLayout(builder, CONSOLE_PATTERN);
	}

	private static LayoutComponentBuilder patternLayout(ConfigurationBuilder<BuiltConfiguration> builder,
			String pattern) {
		return builder.newLayout("PatternLayout").addAttribute("pattern", pattern);
	}

}
