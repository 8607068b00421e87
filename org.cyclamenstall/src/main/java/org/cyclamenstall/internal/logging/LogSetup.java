package org.cyclamenstall.internal.logging;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.cyclamenstall.settings.LogSettings;

/**
 * Sets up the logs of a process: one line an event on standard error, as a JSON object or
 * for reading on a console.
 */
public final class LogSetup {

	private static final String APPENDER = "standard-error";

	private static final String CONSOLE_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{1} - %msg%n%ex";

	private LogSetup() {
	}

	/**
	 * Applies the settings to the whole process.
	 * @param settings the form of the logs
	 */
	public static void apply(LogSettings settings) {
		ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
		AppenderComponentBuilder appender = builder.newAppender(APPENDER, "Console")
			.addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
			.add(layout(builder, settings));
		builder.add(appender);
		builder.add(builder.newLogger("org.xnio", Level.WARN));
		builder.add(builder.newLogger("io.undertow", Level.WARN));
		builder.add(builder.newLogger("org.hibernate.validator", Level.WARN));
		builder.add(builder.newLogger("org.apache.thrift", Level.WARN));
		builder.add(builder.newRootLogger(Level.toLevel(settings.level())).add(builder.newAppenderRef(APPENDER)));
		builder.setStatusLevel(Level.ERROR);
		Configurator.reconfigure(builder.build());
	}

	private static LayoutComponentBuilder layout(ConfigurationBuilder<BuiltConfiguration> builder,
			LogSettings settings) {
		if (settings.format().equals("json")) {
			return builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", "classpath:EcsLayout.json");
		}
		return builder.newLayout("PatternLayout").addAttribute("pattern", CONSOLE_PATTERN);
	}

}
