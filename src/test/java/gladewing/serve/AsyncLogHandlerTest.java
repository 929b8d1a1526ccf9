package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class AsyncLogHandlerTest {
    /**
     * Guards against log lines that a data node or another peer makes up, and against a queue of
     * log lines that takes as much memory as they send: their texts are quoted in reasons.
     */
    @Test
    void messageStaysOnOneLineOfBoundedLength() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AsyncLogHandler handler =
                new AsyncLogHandler(new PrintStream(out, true, StandardCharsets.UTF_8));
        String quoted = "error\r\n2026-01-01 SEVERE forged\u2028\u0085\u001b[31m \u00e9";
        handler.publish(new LogRecord(Level.WARNING, quoted));
        handler.publish(new LogRecord(Level.WARNING, "x".repeat(100_000)));
        handler.flush();
        String log = out.toString(StandardCharsets.UTF_8);
        assertTrue(
                log.contains(
                        "error\\u000d\\u000a2026-01-01 SEVERE forged\\u2028\\u0085\\u001b[31m"
                                + " \u00e9"),
                log);
        assertEquals(0, log.lines().filter(line -> line.startsWith("2026-01-01")).count(), log);
        int longest = log.lines().mapToInt(String::length).max().orElse(0);
        assertTrue(longest < 2 * LogText.MAX_MESSAGE_LENGTH, longest + " characters on a line");
        assertTrue(log.contains("... (100000 characters)"));
    }

    /** The trace of an error keeps its lines. */
    @Test
    void traceIsKept() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AsyncLogHandler handler =
                new AsyncLogHandler(new PrintStream(out, true, StandardCharsets.UTF_8));
        LogRecord record = new LogRecord(Level.SEVERE, "fault");
        record.setThrown(new IllegalStateException("cause"));
        handler.publish(record);
        handler.flush();
        String log = out.toString(StandardCharsets.UTF_8);
        assertTrue(log.lines().filter(line -> line.startsWith("\tat ")).count() > 2, log);
    }
}
