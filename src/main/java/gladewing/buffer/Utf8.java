package gladewing.buffer;

import java.nio.charset.CharacterCodingException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Turns UTF-8 into text and tells where that is not possible. The JDK's String puts U+FFFD for what
 * is malformed and '?' for half of a surrogate pair, so that another text would go on.
 */
public final class Utf8 {
    private static final char REPLACEMENT = '\uFFFD';

    private Utf8() {}

    /**
     * Decodes bytes that are UTF-8 from the first to the last.
     *
     * @throws CharacterCodingException if they are not
     */
    public static String decode(byte[] bytes) throws CharacterCodingException {
        String text = new String(bytes, StandardCharsets.UTF_8);
        // U+FFFD may also be what was sent.
        if (text.indexOf(REPLACEMENT) >= 0
                && !Arrays.equals(bytes, text.getBytes(StandardCharsets.UTF_8))) {
            throw new MalformedInputException(1);
        }
        return text;
    }

    /** Whether a text can be encoded: it has no half of a surrogate pair without the other half. */
    public static boolean isEncodable(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isSurrogate(c)) {
                boolean isPair =
                        i + 1 < text.length() && Character.isSurrogatePair(c, text.charAt(i + 1));
                if (!isPair) {
                    return false;
                }
                i++;
            }
        }
        return true;
    }
}
