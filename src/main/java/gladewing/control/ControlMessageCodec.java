package gladewing.control;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import gladewing.buffer.Utf8;
import gladewing.settings.Fault;
import gladewing.versions.ConfigKind;
import gladewing.versions.LineEdit;
import gladewing.versions.Manifest;
import gladewing.versions.Stage;
import gladewing.versions.VersionStatus;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Decodes and encodes the JSON messages of the control protocol, docs/control.md. Messages received
 * are validated against message.schema.json before they are typed.
 */
public final class ControlMessageCodec {
    private static final int MAX_NESTING = 16;
    private static final int MAX_REPORTED_FAULTS = 3;

    /** Bound on the memory of a message read; one with edits has a handful for each edit. */
    private static final int MAX_TOKENS = 200_000;

    private final ObjectMapper json = new ObjectMapper();
    private final JsonSchema schema;

    /** The limit holds for each string of a message received, in characters. */
    public ControlMessageCodec(int maxStringLength) {
        json.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder()
                                .maxNestingDepth(MAX_NESTING)
                                .maxStringLength(maxStringLength)
                                .maxNumberLength(20)
                                .build());
        json.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
        json.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        try (InputStream in =
                ControlMessageCodec.class.getResourceAsStream("message.schema.json")) {
            schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** A decoded message: at most one component is not null; all are null for a heartbeat. */
    public record Message(VersionPush push, Withdrawal withdrawal, InvalidMessage invalid) {
        public boolean isHeartbeat() {
            return push == null && withdrawal == null && invalid == null;
        }
    }

    /**
     * The text of one kind that is sent with a version: either in full, or as edits against the
     * text that has the base digest.
     *
     * @param fullText null if the text is sent as edits
     * @param baseDigest null if the text is sent in full
     */
    public record TextBody(String fullText, String baseDigest, List<LineEdit> edits) {}

    /** A message of type `set`: a signed manifest and the texts sent with it, by kind. */
    public record VersionPush(Manifest manifest, Map<ConfigKind, TextBody> bodies) {}

    /** A message of type `withdraw`: the signed request to take a version back. */
    public record Withdrawal(String site, long epoch, long number, String key, String mac) {}

    /** A message that can't be used. Epoch and number are -1 if they can't be read from it. */
    public record InvalidMessage(Stage stage, String reason, long epoch, long number) {}

    /** Never throws because of the content: faults are returned as an invalid message. */
    public Message decode(byte[] utf8) {
        JsonNode node;
        try {
            // Decoded here because Jackson accepts some malformed UTF-8.
            String text = Utf8.decode(utf8);
            String fault = tokenFault(text);
            if (fault != null) {
                return invalid(Stage.READABLE, fault, null);
            }
            node = json.readTree(text);
        } catch (CharacterCodingException malformed) {
            return invalid(Stage.READABLE, "not UTF-8", null);
        } catch (JsonProcessingException malformed) {
            return invalid(
                    Stage.READABLE, "not valid JSON: " + malformed.getOriginalMessage(), null);
        }
        if (node == null || !node.isObject()) {
            return invalid(Stage.READABLE, "not a JSON object", null);
        }
        List<ValidationMessage> faults = new ArrayList<>(schema.validate(node));
        if (!faults.isEmpty()) {
            String reason =
                    faults.stream()
                            .map(ValidationMessage::getMessage)
                            .sorted()
                            .limit(MAX_REPORTED_FAULTS)
                            .collect(Collectors.joining("; "));
            return invalid(
                    Stage.SCHEMA,
                    reason
                            + (faults.size() > MAX_REPORTED_FAULTS
                                    ? " and " + (faults.size() - MAX_REPORTED_FAULTS) + " more"
                                    : ""),
                    node);
        }
        return switch (node.get("type").asText()) {
            case "set" -> decodeVersion(node);
            case "withdraw" ->
                    new Message(
                            null,
                            new Withdrawal(
                                    node.get("site").asText(),
                                    node.get("epoch").asLong(),
                                    node.get("number").asLong(),
                                    node.get("key").asText(),
                                    node.get("mac").asText()),
                            null);
            default -> new Message(null, null, null);
        };
    }

    /**
     * Returns what is wrong with the tokens of a JSON text, or null. A string with half of a
     * surrogate pair has the digest of another one, as it can't be encoded.
     */
    private String tokenFault(String text) throws JsonProcessingException {
        try (JsonParser parser = json.getFactory().createParser(text)) {
            int tokens = 0;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (++tokens > MAX_TOKENS) {
                    return "more than " + MAX_TOKENS + " tokens of JSON";
                }
                boolean isText = token == JsonToken.VALUE_STRING || token == JsonToken.FIELD_NAME;
                if (isText && !Utf8.isEncodable(parser.getText())) {
                    return "a string with half of a surrogate pair";
                }
            }
            return null;
        } catch (JsonProcessingException malformed) {
            throw malformed;
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static Message invalid(Stage stage, String reason, JsonNode node) {
        boolean identified =
                node != null
                        && node.path("epoch").canConvertToLong()
                        && node.path("number").canConvertToLong();
        return new Message(
                null,
                null,
                new InvalidMessage(
                        stage,
                        reason,
                        identified ? node.get("epoch").asLong() : -1,
                        identified ? node.get("number").asLong() : -1));
    }

    private static Message decodeVersion(JsonNode node) {
        Manifest manifest = readManifest(node);
        if (manifest.entries().size() < node.get("entries").size()) {
            return invalid(Stage.SCHEMA, "entries: a kind is stated more than once", node);
        }
        Map<ConfigKind, TextBody> bodies = new EnumMap<>(ConfigKind.class);
        for (JsonNode body : node.get("bodies")) {
            ConfigKind kind = ConfigKind.ofWireName(body.get("kind").asText());
            List<LineEdit> edits = new ArrayList<>();
            for (JsonNode edit : body.path("edits")) {
                List<String> put = new ArrayList<>();
                edit.get("put").forEach(line -> put.add(line.asText()));
                edits.add(new LineEdit(edit.get("line").asInt(), edit.get("cut").asInt(), put));
            }
            TextBody textBody =
                    body.has("whole")
                            ? new TextBody(body.get("whole").asText(), null, List.of())
                            : new TextBody(null, body.get("against").asText(), edits);
            if (bodies.put(kind, textBody) != null || manifest.textDigest(kind) == null) {
                return invalid(
                        Stage.SCHEMA,
                        "bodies: " + kind.wireName + " is stated twice or has no entry",
                        node);
            }
        }
        return new Message(new VersionPush(manifest, bodies), null, null);
    }

    private static Manifest readManifest(JsonNode node) {
        Map<ConfigKind, Manifest.Entry> entries = new EnumMap<>(ConfigKind.class);
        for (JsonNode entry : node.get("entries")) {
            entries.put(
                    ConfigKind.ofWireName(entry.get("kind").asText()),
                    new Manifest.Entry(entry.get("number").asLong(), entry.get("digest").asText()));
        }
        return new Manifest(
                node.get("site").asText(),
                node.get("epoch").asLong(),
                node.get("number").asLong(),
                node.path("expires").asLong(0),
                entries,
                node.get("key").asText(),
                node.get("mac").asText());
    }

    /** Encodes a version as one line, with the given bodies only. */
    public String encodeVersion(Manifest manifest, Map<ConfigKind, TextBody> bodies) {
        ObjectNode node = encodeManifest(manifest);
        ArrayNode bodyArray = node.putArray("bodies");
        bodies.forEach(
                (kind, body) -> {
                    ObjectNode bodyNode = bodyArray.addObject().put("kind", kind.wireName);
                    if (body.fullText() != null) {
                        bodyNode.put("whole", body.fullText());
                        return;
                    }
                    bodyNode.put("against", body.baseDigest());
                    ArrayNode edits = bodyNode.putArray("edits");
                    for (LineEdit edit : body.edits()) {
                        ArrayNode put =
                                edits.addObject()
                                        .put("line", edit.startLine())
                                        .put("cut", edit.removedLines())
                                        .putArray("put");
                        edit.insertedLines().forEach(put::add);
                    }
                });
        return node.toString();
    }

    ObjectNode encodeManifest(Manifest manifest) {
        ObjectNode node =
                json.createObjectNode()
                        .put("type", "set")
                        .put("site", manifest.site())
                        .put("epoch", manifest.epoch())
                        .put("number", manifest.number());
        if (manifest.expiresAtUnixMillis() > 0) {
            node.put("expires", manifest.expiresAtUnixMillis());
        }
        ArrayNode entries = node.putArray("entries");
        manifest.entries()
                .forEach(
                        (kind, entry) ->
                                entries.addObject()
                                        .put("kind", kind.wireName)
                                        .put("number", entry.number())
                                        .put("digest", entry.digest()));
        return node.put("key", manifest.keyName()).put("mac", manifest.mac());
    }

    /** Encodes the message that takes a version back, as one line. */
    public String encodeWithdrawal(String site, long epoch, long number, String key, String mac) {
        return json.createObjectNode()
                .put("type", "withdraw")
                .put("site", site)
                .put("epoch", epoch)
                .put("number", number)
                .put("key", key)
                .put("mac", mac)
                .toString();
    }

    /**
     * Encodes the result of checking a version: whether it is good, and every fault.
     *
     * @param untrusted why the signature is not accepted; null if it is, or was not checked
     */
    public String encodeVerdict(Manifest manifest, String untrusted, List<Fault> faults) {
        ObjectNode node =
                json.createObjectNode()
                        .put("version", manifest.id())
                        .put("good", untrusted == null && faults.isEmpty())
                        .put("untrusted", untrusted);
        ArrayNode faultArray = node.putArray("faults");
        faults.forEach(
                f ->
                        faultArray
                                .addObject()
                                .put("kind", f.file())
                                .put("section", f.section())
                                .put("key", f.key())
                                .put("what", f.what()));
        return node.toString();
    }

    /** Encodes what is posted to the control service: answers and the version in force. */
    public String encodeAnswers(String router, Manifest inForce, List<VersionStatus> answers) {
        ObjectNode node = json.createObjectNode().put("router", router);
        node.put("in_force", inForce == null ? "" : inForce.id());
        ArrayNode answerArray = node.putArray("answers");
        for (VersionStatus a : answers) {
            answerArray
                    .addObject()
                    .put("epoch", a.epoch())
                    .put("number", a.number())
                    .put("digest", a.digest())
                    .put("answer", a.accepted() ? "ack" : "nack")
                    .put("stage", a.stage().wireName())
                    .put("reason", a.reason())
                    .put("place", a.location())
                    .put("lasts", a.persisted());
        }
        return node.toString();
    }

    ObjectMapper json() {
        return json;
    }

    /** Decodes what {@link #encodeManifest} made; ignores other properties. Null for null. */
    static Manifest decodeManifest(JsonNode node) {
        return node == null || node.isNull() ? null : readManifest(node);
    }
}
