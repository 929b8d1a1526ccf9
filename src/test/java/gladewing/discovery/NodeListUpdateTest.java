package gladewing.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class NodeListUpdateTest {
    /**
     * Guards against names of data nodes that go out again, in requests and in the log, as more
     * than a name: with line ends, or without a bound on their length.
     */
    @Test
    void namesAreBoundedAndHaveNoControlCharacters() {
        assertEquals("n\u00e9 1", parse("n\u00e9 1").entries().get(0).uid());
        for (String name : new String[] {"n\\r\\nX-Header: 1", "\u0085", "n".repeat(257)}) {
            assertThrows(InvalidInputException.class, () -> parse(name), name);
        }
    }

    private static NodeListUpdate parse(String name) {
        String list =
                "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\""
                        + name
                        + "\",\"endpoint\":\"127.0.0.1:9\",\"pod_group\":0,\"state\":\"up\"}]}";
        return NodeListUpdate.parse(Json.fields("list", list.getBytes(StandardCharsets.UTF_8)), 1);
    }
}
