import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class Http {

	private Http() {
	}

	/** A message: its first line, its headers in lower case and its body. */
	static final class Message {

		String firstLine;

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("end in a line");
			}
			line.write(next);
		}
		return line.toString("ISO-8859-1").replace("\r", "");
	}

	/** Reads a message up to the end of its headers, or null at the end of the connection. */
	static Message head(BufferedInputStream in) throws IOException {
		Message message = new Message();
		message.firstLine = line(in);
		if (message.firstLine == null) {
			return null;
		}
		for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
			int colon = next.indexOf(':');
			message.headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
		}
		return message;
	}

	static void exactly(InputStream in, byte[] target, int length) throws IOException {
		int read = in.readNBytes(target, 0, length);
		if (read < length) {
			throw new EOFException("end in a body");
		}
	}

	/** Reads the body of a message; the response to a request if untilEnd is set. */
	static void body(BufferedInputStream in, Message message, boolean untilEnd, ByteArrayOutputStream partial)
			throws IOException {
		String length = message.header("Content-Length");
		if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("end between chunks");
				}
				int count = Integer.parseInt(size.trim(), 16);
				byte[] chunk = new byte[count];
				exactly(in, chunk, count);
				partial.write(chunk, 0, count);
				line(in);
				if (count == 0) {
					break;
				}
			}
		}
		else if (length != null) {
			byte[] whole = new byte[Integer.parseInt(length.trim())];
			exactly(in, whole, whole.length);
			partial.write(whole, 0, whole.length);
		}
		else if (untilEnd) {
			partial.writeBytes(in.readAllBytes());
		}
		message.body = partial.toByteArray();
	}

}
