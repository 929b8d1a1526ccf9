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
}
