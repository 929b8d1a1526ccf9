package gladewing.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.versions.Stage;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ControlMessageCodecTest {
    private final ControlMessageCodec codec = new ControlMessageCodec(1 << 20);

    /** Guards against messages of small values, which take many times their bytes once read. */
    @Test
    void messageOfTooManyValuesIsNotReadable() {
        String message = "{\"type\":[" + "[],".repeat(200_000) + "0]}";
        ControlMessageCodec.Message decoded =
                codec.decode(message.getBytes(StandardCharsets.UTF_8));
        assertEquals(Stage.READABLE, decoded.invalid().stage());
        assertTrue(decoded.invalid().reason().contains("tokens"), decoded.invalid().reason());
    }

    /**
     * Guards against a text that is put in force in the place of the signed one: half of a
     * surrogate pair and "?" have the same bytes once encoded, and so the same digest.
     */
    @Test
    void messageWithHalfOfASurrogatePairIsNotReadable() {
        String message = "{\"type\":\"heartbeat\",\"note\":\"a\\ud800b\"}";
        ControlMessageCodec.Message decoded =
                codec.decode(message.getBytes(StandardCharsets.UTF_8));
        assertEquals(Stage.READABLE, decoded.invalid().stage());
        assertEquals("a string with half of a surrogate pair", decoded.invalid().reason());
    }
}
