package gladewing.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The results file of an experiment, with one line of JSON per run that also records the parameters
 * of the run. An incomplete last line, left by a program that was killed, is cut off when the file
 * is opened. Runs with complete lines are not repeated.
 */
final class ResultsFile implements AutoCloseable {
    private final ObjectMapper json = new ObjectMapper();
    private final FileChannel file;
    private final Map<String, JsonNode> rows = new LinkedHashMap<>();

    /**
     * Opens the file, or creates it.
     *
     * @throws IOException if the file cannot be used or contains a line that is not a result row
     */
    ResultsFile(Path path) throws IOException {
        byte[] content = Files.exists(path) ? Files.readAllBytes(path) : new byte[0];
        int completeLength = content.length;
        while (completeLength > 0 && content[completeLength - 1] != '\n') {
            completeLength--;
        }
        for (String line :
                new String(content, 0, completeLength, StandardCharsets.UTF_8).split("\n")) {
            if (line.isEmpty()) {
                continue;
            }
            try {
                JsonNode row = json.readTree(line);
                rows.put(row.get("id").asText(), row);
            } catch (JsonProcessingException | NullPointerException malformed) {
                throw new IOException(
                        path
                                + " contains a line that is not a result row of an experiment: "
                                + line);
            }
        }
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        file.truncate(completeLength).position(completeLength);
    }

    /** Returns the rows by run id. */
    Map<String, JsonNode> rows() {
        return rows;
    }

    Map<String, Double> revenue() {
        Map<String, Double> revenue = new LinkedHashMap<>();
        rows.forEach((id, row) -> revenue.put(id, row.get("revenue").asDouble()));
        return revenue;
    }

    void add(Experiment.Run run, RunMetrics metrics, String version) throws IOException {
        ObjectNode row = json.createObjectNode().put("id", run.id()).put("version", version);
        ObjectNode overrides = row.putObject("varied");
        run.point().overrides().forEach(overrides::put);
        row.setAll((ObjectNode) json.readTree(metrics.toJson(run.policy(), run.seed())));
        ByteBuffer line = ByteBuffer.wrap((row + "\n").getBytes(StandardCharsets.UTF_8));
        while (line.hasRemaining()) {
            file.write(line);
        }
        rows.put(run.id(), row);
    }

    @Override
    public void close() throws IOException {
        file.force(true);
        file.close();
    }
}
