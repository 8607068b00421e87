package org.cyclamenstall.internal.http;

/**
 * Characters and numbers of HTTP messages (RFC 9110, sections 5.5, 5.6.2 and 8.6).
 * Stateless and thread-safe.
 */
public final class HttpSyntax {

	private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~0123456789"
			+ "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

	/** States for each ASCII character whether it may be part of a token. */
	private static final boolean[] TOKEN_TABLE = tokenTable();

	private static final int DELETE = 0x7f;

	/** Number of decimal digits that always fit into a {@code long}. */
	private static final int MAXIMUM_LENGTH_DIGITS = 18;

	private HttpSyntax() {
	}

	/**
	 * Returns whether a character may be part of a token, such as the name of a field.
	 * @param character the character
	 * @return {@code true} for letters, digits and some symbols
	 */
	static boolean isTokenCharacter(int character) {
		return character >= 0 && character < TOKEN_TABLE.length && TOKEN_TABLE[character];
	}

	/**
	 * Returns whether a character may be part of the value of a field.
	 * @param character the character, from 0 to 255
	 * @return {@code false} for control characters other than the horizontal tab
	 */
	static boolean isTextCharacter(int character) {
		return character == '\t' || (character >= ' ' && character != DELETE);
	}

	/**
	 * Returns whether a text is a token.
	 * @param text the text
	 * @return {@code true} if it is not empty and contains token characters only
	 */
	public static boolean isToken(String text) {
		for (int index = 0; index < text.length(); index++) {
			if (!isTokenCharacter(text.charAt(index))) {
				return false;
			}
		}
		return !text.isEmpty();
	}

	/**
	 * Returns whether a text may be the value of a field.
	 * @param text the text
	 * @return {@code true} if it contains no control character but the horizontal tab
	 */
	public static boolean isText(String text) {
		for (int index = 0; index < text.length(); index++) {
			if (!isTextCharacter(text.charAt(index))) {
				return false;
			}
		}
		return true;
	}

	private static boolean[] tokenTable() {
		boolean[] table = new boolean[DELETE];
		TOKEN_CHARACTERS.chars().forEach((character) -> table[character] = true);
		return table;
	}

	/**
	 * Returns whether a character is a decimal digit.
	 * @param character the character
	 * @return {@code true} from 0 to 9
	 */
	static boolean isDigit(int character) {
		return character >= '0' && character <= '9';
	}

	/**
	 * Parses the value of a {@code Content-Length} field.
	 * @param value the value without surrounding white space
	 * @return the length in bytes, or -1 if the value is not a number or is too large
	 */
	public static long parseContentLength(String value) {
		boolean valid = !value.isEmpty() && value.length() <= MAXIMUM_LENGTH_DIGITS
				&& value.chars().allMatch(HttpSyntax::isDigit);
		return valid ? Long.parseLong(value) : -1;
	}

}
