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
 * Reads YAML documents into records and validates them against the constraints of the
 * record components. Validation errors name the line, the field and the allowed values.
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
	 * @param kind the error kind of the exceptions that report invalid documents
	 */
	public CheckedYamlReader(ErrorKind kind) {
		this.kind = kind;
	}

	/**
	 * Reads and validates a file.
	 * @param <T> the type of document
	 * @param file the file
	 * @param type the type of document
	 * @return the validated document
	 * @throws InvalidYamlException if the file cannot be read or is invalid
	 */
	public <T> T read(Path file, Class<T> type) {
		return read(readText(file), file.toString(), type);
	}

	/**
	 * Reads the text of a file without validating it.
	 * @param file the file
	 * @return the text
	 * @throws InvalidYamlException if the file cannot be read
	 */
	public String readText(Path file) {
		try {
			return Files.readString(file, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new InvalidYamlException(this.kind, file.toString(),
					List.of(new YamlProblem(1, "", "the file cannot be read: " + ex.getMessage())));
		}
	}

	/**
	 * Reads and validates a text.
	 * @param <T> the type of document
	 * @param text the text
	 * @param source the name of the document in messages
	 * @param type the type of document
	 * @return the validated document
	 * @throws InvalidYamlException if the text is invalid
	 */
	public <T> T read(String text, String source, Class<T> type) {
		return read(text, source, type, (document) -> List.of());
	}

	/**
	 * Reads and validates a text, and then runs an additional validation of the document
	 * if all of its fields are valid.
	 * @param <T> the type of document
	 * @param text the text
	 * @param source the name of the document in messages
	 * @param type the type of document
	 * @param additionalValidation returns the validation errors of a document
	 * @return the validated document
	 * @throws InvalidYamlException if the text is invalid
	 */
	public <T> T read(String text, String source, Class<T> type, Function<T, List<FieldError>> additionalValidation) {
		YamlLineIndex lineIndex = readLineIndex(text, source);
		if (lineIndex.isEmpty()) {
			throw new InvalidYamlException(this.kind, source,
					List.of(new YamlProblem(1, "", "the document has no fields")));
		}
		T document = parse(text, source, type, lineIndex);
		throwIfAny(source,
				this.validator.validate(document).stream().map((violation) -> toProblem(violation, lineIndex)));
		throwIfAny(source,
				additionalValidation.apply(document)
					.stream()
					.map((error) -> new YamlProblem(lineIndex.lineOf(error.field()), error.field(), error.message())));
		return document;
	}

	private void throwIfAny(String source, Stream<YamlProblem> found) {
		List<YamlProblem> problems = found
			.sorted(Comparator.comparingInt(YamlProblem::line).thenComparing(YamlProblem::field))
			.distinct()
			.toList();
		if (!problems.isEmpty()) {
			throw new InvalidYamlException(this.kind, source, problems);
		}
	}

	private YamlLineIndex readLineIndex(String text, String source) {
		try (JsonParser parser = this.mapper.createParser(text)) {
			return YamlLineIndex.read(parser);
		}
		catch (JsonProcessingException ex) {
			throw invalid(source, ex);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private <T> T parse(String text, String source, Class<T> type, YamlLineIndex lineIndex) {
		try {
			return this.mapper.readValue(text, type);
		}
		catch (UnrecognizedPropertyException ex) {
			String knownFields = ex.getKnownPropertyIds()
				.stream()
				.map(Object::toString)
				.sorted()
				.collect(Collectors.joining(", "));
			throw invalid(source, ex, lineIndex, "unknown field; allowed here: " + knownFields);
		}
		catch (InvalidFormatException ex) {
			throw invalid(source, ex, lineIndex,
					"'" + ex.getValue() + "' is not allowed; " + describeExpected(ex.getTargetType()));
		}
		catch (MismatchedInputException ex) {
			throw invalid(source, ex, lineIndex, "wrong type; " + describeExpected(ex.getTargetType()));
		}
		catch (JsonMappingException ex) {
			throw invalid(source, ex, lineIndex, ex.getOriginalMessage());
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

	private InvalidYamlException invalid(String source, JsonMappingException cause, YamlLineIndex lineIndex,
			String message) {
		String field = fieldPath(cause);
		return new InvalidYamlException(this.kind, source,
				List.of(new YamlProblem(lineIndex.lineOf(field), field, message)));
	}

	private static YamlProblem toProblem(ConstraintViolation<?> violation, YamlLineIndex lineIndex) {
		String field = violation.getPropertyPath().toString().replaceAll("\\.<[^>]*>", "");
		if (violation.getInvalidValue() == null) {
			return new YamlProblem(lineIndex.lineOf(field), field, "required field is missing");
		}
		return new YamlProblem(lineIndex.lineOf(field), field,
				violation.getMessage() + "; found '" + violation.getInvalidValue() + "'");
	}

	private static String describeExpected(Class<?> type) {
		if (type != null && type.isEnum()) {
			return "allowed: " + List.of(type.getEnumConstants()).toString().toLowerCase(Locale.ROOT);
		}
		return "expected " + ((type != null) ? type.getSimpleName().toLowerCase(Locale.ROOT) : "another type");
	}

	private static String fieldPath(JsonMappingException ex) {
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
