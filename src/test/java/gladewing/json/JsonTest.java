package gladewing.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.router.Trace;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class JsonTest {
    /**
     * Guards against accepting malformed JSON and against reading values as the wrong type. Each
     * line of json.txt is a text, an arrow, and the value or the error that parsing it gives.
     */
    @Test
    void parsesValuesAndRejectsMalformedTexts() throws IOException {
        String expected = Trace.expected("json.txt");
        StringBuilder actual = new StringBuilder();
        for (String line : expected.split("\n")) {
            String text = line.substring(0, line.indexOf(" -> "));
            actual.append(text).append(" -> ").append(read(text).replace("\n", "|")).append('\n');
        }
        assertEquals(expected, actual.toString());
    }

    private static String read(String text) {
        try {
            Object value = Json.read(text.getBytes(StandardCharsets.UTF_8));
            return (value == null ? "" : value.getClass().getSimpleName() + " ") + value;
        } catch (InvalidInputException e) {
            return e.getMessage();
        }
    }

    /**
     * Guards against a stack overflow on deeply nested input, and against strings that are written
     * with escapes that the parser reads differently.
     */
    @Test
    void nestingIsBoundedAndQuotedTextsAreReadBack() {
        assertEquals(
                "not JSON at character 33: nested deeper than 32 levels",
                read("[".repeat(40) + "]".repeat(40)));
        String text = "a \"quoted\" \\ \n \u0001 \u00e9 \ud83d\ude00";
        StringBuilder quoted = new StringBuilder();
        Json.quote(quoted, text);
        assertEquals(text, Json.read(quoted.toString().getBytes(StandardCharsets.UTF_8)));
    }

    /** Guards against texts of small values, which take many times their bytes once read. */
    @Test
    void numberOfValuesIsBounded() {
        byte[] text = "{\"a\":[1,2]}".getBytes(StandardCharsets.UTF_8);
        assertEquals(2, Json.fields("t", text, 4).number("a", 1, 0));
        InvalidInputException tooMany =
                assertThrows(InvalidInputException.class, () -> Json.fields("t", text, 3));
        assertTrue(tooMany.getMessage().contains("more than 3 values"), tooMany.getMessage());
    }

    /**
     * Guards against texts that are passed on as others: what can't be decoded, or can't be encoded
     * again, is an error and is not replaced. U+FFFD itself is a character like any other.
     */
    @Test
    void textsThatCannotBePassedOnAreErrors() {
        byte[][] malformed = {
            {'"', 'a', (byte) 0xff, '"'},
            {'"', 'a', (byte) 0xc3, '"'},
            {'"', (byte) 0x80, '"'},
            {'"', (byte) 0xc0, (byte) 0x80, '"'},
            {'"', (byte) 0xed, (byte) 0xa0, (byte) 0x80, '"'},
            {'"', (byte) 0xf4, (byte) 0x90, (byte) 0x80, (byte) 0x80, '"'},
            {'"', (byte) 0xef, (byte) 0xbf, (byte) 0xbd, (byte) 0xff, '"'},
        };
        for (byte[] text : malformed) {
            InvalidInputException error =
                    assertThrows(InvalidInputException.class, () -> Json.read(text));
            assertEquals("not JSON: not UTF-8", error.getMessage());
        }
        for (String escapes :
                new String[] {"\\ud800", "\\udc00", "\\ud800a", "\\udc00\\ud800", "a\\ud83d"}) {
            String error = read("\"" + escapes + "\"");
            assertTrue(error.contains("half of a surrogate pair"), escapes + ": " + error);
        }
        assertEquals("String \ud83d\ude00", read("\"\\ud83d\\ude00\""));
        assertEquals("String a\ufffdb", read("\"a\ufffdb\""));
        assertEquals("String a\ufffdb", read("\"a\\ufffdb\""));
    }
}
