package org.cyclamenstall.internal.yaml;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import org.cyclamenstall.errors.ErrorKind;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/**
 * Reads YAML documents into records and checks them against the constraints of the
 * record's components. A fault names the line, the field and what is allowed.
 * Thread-safe.
 */
public final class CheckedYamlReader {

	private final YAMLMapper mapper = YAMLMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.build();

	private final Validator validator = Validation.byDefaultProvider()
		.configure()
		.messageInterpolator(new ParameterMessageInterpolator())
		.buildValidatorFactory()
		.getValidator();

	private final ErrorKind kind;

	/**
	 * Creates a reader.
	 * @param kind the kind of error to report faults with
	 */
	public CheckedYamlReader(ErrorKind kind) {
		this.kind = kind;
	}

	/**
	 * Reads a file.
	 * @param <T> the type of document
	 * @param file the file
	 * @param type the type of document
	 * @return the checked document
	 * @throws InvalidYamlException if the file cannot be read or fails its checks
	 */
	public <T> T read(Path file, Class<T> type) {
		return read(text(file), file.toString(), type);
	}

	/**
	 * Reads a file without a check of its content.
	 * @param file the file
	 * @return the text
	 * @throws InvalidYamlException if the file cannot be read
	 */
	public String text(Path file) {
		try {
			return Files.readString(file, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new InvalidYamlException(this.kind, file.toString(),
					List.of(new YamlProblem(1, "", "the file cannot be read: " + ex.getMessage())));
		}
	}

	/**
	 * Reads a text.
	 * @param <T> the type of document
	 * @param text the text
	 * @param source the name of the document in messages
	 * @param type the type of document
	 * @return the checked document
	 * @throws InvalidYamlException if the text fails its checks
	 */
	public <T> T read(String text, String source, Class<T> type) {
		return read(text, source, type, (document) -> List.of());
	}

	/**
	 * Reads a text and makes further checks, once its fields pass theirs.
	 * @param <T> the type of document
	 * @param text the text
	 * @param source the name of the document in messages
	 * @param type the type of document
	 * @param check returns the faults of a document
	 * @return the checked document
	 * @throws InvalidYamlException if the text fails its checks
	 */
	public <T> T read(String text, String source, Class<T> type, Function<T, List<FieldFault>> check) {
		YamlLines lines = lines(text, source);
		if (lines.isEmpty()) {
			throw new InvalidYamlException(this.kind, source,
					List.of(new YamlProblem(1, "", "the document holds no field")));
		}
		T document = parse(text, source, type, lines);
		refuseProblems(source,
				this.validator.validate(document).stream().map((violation) -> problem(violation, lines)));
		refuseProblems(source,
				check.apply(document)
					.stream()
					.map((fault) -> new YamlProblem(lines.lineOf(fault.field()), fault.field(), fault.message())));
		return document;
	}

	private void refuseProblems(String source, Stream<YamlProblem> found) {
		List<YamlProblem> problems = found
			.sorted(Comparator.comparingInt(YamlProblem::line).thenComparing(YamlProblem::field))
			.distinct()
			.toList();
		if (!problems.isEmpty()) {
			throw new InvalidYamlException(this.kind, source, problems);
		}
	}

	private YamlLines lines(String text, String source) {
		try (JsonParser parser = this.mapper.createParser(text)) {
			return YamlLines.read(parser);
		}
		catch (JsonProcessingException ex) {
			throw invalid(source, ex);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private <T> T parse(String text, String source, Class<T> type, YamlLines lines) {
		try {
			return this.mapper.readValue(text, type);
		}
		catch (UnrecognizedPropertyException ex) {
			String known = ex.getKnownPropertyIds()
				.stream()
				.map(Object::toString)
				.sorted()
				.collect(Collectors.joining(", "));
			throw invalid(source, ex, lines, "unknown field; allowed here: " + known);
		}
		catch (InvalidFormatException ex) {
			throw invalid(source, ex, lines, "'" + ex.getValue() + "' is not allowed; " + allowed(ex.getTargetType()));
		}
		catch (MismatchedInputException ex) {
			throw invalid(source, ex, lines, "wrong type; " + allowed(ex.getTargetType()));
		}
		catch (JsonMappingException ex) {
			throw invalid(source, ex, lines, ex.getOriginalMessage());
		}
		catch (JsonProcessingException ex) {
			throw invalid(source, ex);
		}
	}

	private InvalidYamlException invalid(String source, JsonProcessingException cause) {
		int line = (cause.getLocation() != null) ? Math.max(1, cause.getLocation().getLineNr()) : 1;
		return new InvalidYamlException(this.kind, source,
				List.of(new YamlProblem(line, "", cause.getOriginalMessage())));
	}

	private InvalidYamlException invalid(String source, JsonMappingException cause, YamlLines lines, String message) {
		String field = path(cause);
		return new InvalidYamlException(this.kind, source,
				List.of(new YamlProblem(lines.lineOf(field), field, message)));
	}

	private static YamlProblem problem(ConstraintViolation<?> violation, YamlLines lines) {
		String field = violation.getPropertyPath().toString().replaceAll("\\.<[^>]*>", "");
		if (violation.getInvalidValue() == null) {
			return new YamlProblem(lines.lineOf(field), field, "required field is missing");
		}
		return new YamlProblem(lines.lineOf(field), field,
				violation.getMessage() + "; found '" + violation.getInvalidValue() + "'");
	}

	private static String allowed(Class<?> type) {
		if (type != null && type.isEnum()) {
			return "allowed: " + List.of(type.getEnumConstants()).toString().toLowerCase(Locale.ROOT);
		}
		return "expected " + ((type != null) ? type.getSimpleName().toLowerCase(Locale.ROOT) : "another type");
	}

	private static String path(JsonMappingException ex) {
		StringBuilder path = new StringBuilder();
		for (JsonMappingException.Reference reference : ex.getPath()) {
			if (reference.getFieldName() != null) {
				path.append((path.length() > 0) ? "." : "").append(reference.getFieldName());
			}
			else {
				path.append('[').append(reference.getIndex()).append(']');
			}
		}
		return path.toString();
	}

}
