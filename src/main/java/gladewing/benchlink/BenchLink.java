package gladewing.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import gladewing.attempts.AttemptsFile;
import gladewing.attempts.AttemptsValidationContext;
import gladewing.attempts.RetryPolicies;
import gladewing.config.SettingsReader;
import gladewing.json.Fields;
import gladewing.json.InvalidInputException;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.settings.InvalidSettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs query routers against the simulator. Reads batches of events as JSON objects from a stream
 * and writes, for each batch, the actions of the routers and a closing END object. The routers of
 * one stream share no state.
 */
public final class BenchLink {
    /** Number of slots in which INVENTORY events store node lists for later ENDPOINTS events. */
    private static final int NODE_LIST_SLOTS = 16;

    /** Number of values of the field Scope, {@link Instance#SCOPE_LIST_FAILED} included. */
    private static final int SCOPES = 4;

    private final JsonParser in;
    private final JsonGenerator out;
    private final PrintStream errors;
    private final Map<String, Instance> instances = new HashMap<>();

    /** The instances with events in the current batch, in the order of their first event. */
    private final Set<Instance> instancesInBatch = new LinkedHashSet<>();

    private final List<List<Fields>> nodeLists =
            new ArrayList<>(Collections.nCopies(NODE_LIST_SLOTS, null));

    /** Path of the file with the retry settings; null if there is none. */
    private final String attemptsPath;

    private AttemptsFile attempts;

    /** Time of the current batch; null outside a batch. */
    private Time now;

    /**
     * Creates a link that starts without routers.
     *
     * @param in batches of events
     * @param out receives the replies
     * @param errors receives one line if the input is invalid
     * @param attemptsPath path of the file with the retry settings, or null
     */
    public BenchLink(InputStream in, OutputStream out, PrintStream errors, String attemptsPath)
            throws IOException {
        this.attemptsPath = attemptsPath;
        JsonFactory json = new JsonFactoryBuilder().rootValueSeparator((String) null).build();
        this.in = json.createParser(in);
        this.out = json.createGenerator(out);
        this.errors = errors;
    }

    /**
     * Handles events up to the end of the input or the first invalid one.
     *
     * @return the exit status of the process: 0, or 1 after an invalid event
     */
    public int run() throws IOException {
        try {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                if (token != JsonToken.START_OBJECT) {
                    throw new InvalidInputException("expected a JSON object");
                }
                handle(readMessage());
            }
            return 0;
        } catch (InvalidInputException invalid) {
            printError(invalid.getMessage());
        } catch (JsonProcessingException invalid) {
            printError(
                    "not a JSON message: "
                            + invalid.getOriginalMessage().replaceFirst(" \\(start marker.*", ""));
        }
        return 1;
    }

    private Fields readMessage() throws IOException {
        Map<String, Object> fields = readObject();
        if (fields.get("m") instanceof String name) {
            return Fields.of(name, fields);
        }
        throw new InvalidInputException("event without a name: field m is missing or not a string");
    }

    private Map<String, Object> readObject() throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            fields.put(field, readValue());
        }
        return fields;
    }

    private Object readValue() throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT:
                return readObject();
            case START_ARRAY:
                List<Object> elements = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    elements.add(readValue());
                }
                return elements;
            case VALUE_STRING:
                return in.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return in.getNumberValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }

    private void printError(String text) {
        errors.println("benchlink: line " + in.currentLocation().getLineNr() + ": " + text);
    }

    private void handle(Fields message) throws IOException {
        switch (message.name()) {
            case "BATCH" -> now = Time.ofMillis(message.number("Time"));
            case "EOF_BATCH" -> endBatch(message);
            case "INVENTORY" ->
                    nodeLists.set(
                            message.index("Slot", NODE_LIST_SLOTS), message.objects("Elements"));
            case "ENLIST" -> {
                requireBatch(message);
                String name = message.text("I");
                removeInstance(name);
                Fields settings = message.object("Facts");
                Instance created =
                        new Instance(
                                name,
                                out,
                                message.whole("Salt"),
                                settings,
                                retryPolicies(settings),
                                now);
                instances.put(name, created);
                instancesInBatch.add(created);
            }
            case "POWER_OFF" -> {
                findInstance(message);
                removeInstance(message.text("I"));
            }
            case "ENDPOINTS" -> {
                Instance instance = findInstance(message);
                int scope = message.index("Scope", SCOPES);
                if (scope == Instance.SCOPE_LIST_FAILED) {
                    instance.nodeListFailed();
                } else {
                    List<Fields> entries = nodeLists.get(message.index("Slot", NODE_LIST_SLOTS));
                    if (entries == null) {
                        throw message.wrong("Slot", "a list that was given");
                    }
                    instance.updateNodes(scope, entries);
                }
            }
            case "REQUEST" -> findInstance(message).request(message);
            case "FINISHED" -> findInstance(message).transmissionEnded(message);
            case "WITHDRAWN" -> findInstance(message).clientLeft(message);
            case "DEADLINE_HIT" -> findInstance(message).timerFired(message);
            case "SAMPLED" -> findInstance(message).probeEnded(message);
            case "FLOWING", "PEER" -> findInstance(message);
            default -> throw new InvalidInputException(message.name() + ": unknown event");
        }
    }

    /**
     * Creates the retry policies of one instance, with retry budgets of its own. The file is read
     * once, with the settings of the first instance, since all instances get the same ones.
     *
     * @return null if there is no file with retry settings
     */
    private RetryPolicies retryPolicies(Fields settings) {
        if (attemptsPath != null && attempts == null) {
            try {
                attempts =
                        AttemptsFile.read(
                                attemptsPath,
                                new AttemptsValidationContext(
                                        SettingsReader.names(settings, "RequestClasses"),
                                        SettingsReader.settings(settings),
                                        Span.ofMillis(
                                                settings.object("Permissions")
                                                        .number("ConnectTimeout", 0)),
                                        null));
            } catch (InvalidSettingsException invalid) {
                throw new InvalidInputException(invalid.getMessage());
            }
        }
        return attempts == null ? null : attempts.retryPolicies();
    }

    private void requireBatch(Fields message) {
        if (now == null) {
            throw new InvalidInputException(message.name() + ": event outside a batch");
        }
    }

    private Instance findInstance(Fields message) {
        requireBatch(message);
        Instance instance = instances.get(message.text("I"));
        if (instance == null) {
            throw message.wrong("I", "an instance that was enlisted");
        }
        if (instancesInBatch.add(instance)) {
            instance.beginTurn(now);
        }
        return instance;
    }

    private void removeInstance(String name) {
        Instance removed = instances.remove(name);
        if (removed != null) {
            instancesInBatch.remove(removed);
        }
    }

    private void endBatch(Fields message) throws IOException {
        requireBatch(message);
        for (Instance instance : instancesInBatch) {
            instance.endTurn();
        }
        instancesInBatch.clear();
        now = null;
        out.writeStartObject();
        out.writeStringField("m", "END");
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
    }
}
