package gladewing.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gladewing.durable.DiskDirectory;
import gladewing.durable.StateDirectory;
import gladewing.durable.StateStore;
import gladewing.files.RepeatedFileCall;
import gladewing.versions.ConfigKind;
import gladewing.versions.Manifest;
import gladewing.versions.PersistedState;
import gladewing.versions.Stage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Saves to disk what the control client needs after a restart: the versions in force and last found
 * good with their texts, the versions that were rejected, and the last known list of data nodes.
 */
public final class ControlStateStore implements AutoCloseable {
    private static final int FORMAT = 1;

    private final ObjectMapper json = new ObjectMapper();

    /** Null if nothing is saved; the problem says why. */
    private StateStore store;

    private String problem;

    /**
     * All that was saved.
     *
     * @param nodeList the list of data nodes in discovery's format; null if none was saved
     */
    public record StoredState(
            PersistedState rolloutState, Map<String, String> textsByDigest, String nodeList) {
        static final StoredState EMPTY = new StoredState(PersistedState.EMPTY, Map.of(), null);

        /** The texts of a version by kind; null if any of them was not saved. */
        public Map<ConfigKind, String> textsOf(Manifest manifest) {
            Map<ConfigKind, String> texts = new EnumMap<>(ConfigKind.class);
            for (ConfigKind kind : manifest.entries().keySet()) {
                if (!textsByDigest.containsKey(manifest.textDigest(kind))) {
                    return null;
                }
                texts.put(kind, textsByDigest.get(manifest.textDigest(kind)));
            }
            return texts;
        }
    }

    /**
     * Opens the store in a folder, again where that fails for a moment. If the folder can't be
     * used, nothing is saved, {@link #problem} says why, and the router serves without.
     *
     * @param path null if nothing is to be saved
     */
    public static ControlStateStore open(Path path) {
        ControlStateStore stateStore = new ControlStateStore();
        if (path == null) {
            stateStore.problem = "no folder is configured";
            return stateStore;
        }
        StateDirectory folder = null;
        try {
            folder = RepeatedFileCall.run(() -> DiskDirectory.openForWriting(path));
            stateStore.store = StateStore.open(folder);
            stateStore.problem =
                    stateStore.store.findings().isEmpty()
                            ? null
                            : String.join("; ", stateStore.store.findings());
        } catch (IOException | RuntimeException failure) {
            stateStore.problem = "the folder can't be used: " + failure;
            if (folder != null) {
                folder.close();
            }
        }
        return stateStore;
    }

    /** Uses a store that the caller has opened. */
    public static ControlStateStore using(StateStore store) {
        ControlStateStore stateStore = new ControlStateStore();
        stateStore.store = store;
        return stateStore;
    }

    /** Why the last load or save failed, or why nothing is saved; null if there is no problem. */
    public String problem() {
        return problem;
    }

    public StateStore store() {
        return store;
    }

    /** Returns what was saved. Can be called once, as the memory for it is released here. */
    public StoredState load() {
        if (store == null || store.state() == null) {
            return StoredState.EMPTY;
        }
        try {
            return read(store);
        } catch (IOException | RuntimeException failure) {
            problem = "the state in the folder can't be read: " + failure.getMessage();
            store.close();
            store = null;
            return StoredState.EMPTY;
        }
    }

    private StoredState read(StateStore source) throws IOException {
        JsonNode state = json.readTree(source.state());
        if (state.path("format").asInt() != FORMAT) {
            throw new IOException(
                    "its format is "
                            + state.path("format").asText("none")
                            + ", this program supports "
                            + FORMAT);
        }
        List<PersistedState.RejectedVersion> rejected = new ArrayList<>();
        for (JsonNode rejectedVersion : state.get("refused")) {
            rejected.add(
                    new PersistedState.RejectedVersion(
                            rejectedVersion.get("canonical").asText(),
                            rejectedVersion.get("epoch").asLong(),
                            rejectedVersion.get("number").asLong(),
                            Stage.valueOf(
                                    rejectedVersion.get("stage").asText().toUpperCase(Locale.ROOT)),
                            rejectedVersion.get("reason").asText()));
        }
        PersistedState rolloutState =
                new PersistedState(
                        ControlMessageCodec.decodeManifest(state.get("in_force")),
                        ControlMessageCodec.decodeManifest(state.get("good")),
                        state.get("starts").asInt(),
                        state.get("seen_epoch").asLong(),
                        state.get("seen_number").asLong(),
                        rejected);
        Map<String, String> texts = new HashMap<>();
        for (Manifest manifest : new Manifest[] {rolloutState.inForce(), rolloutState.lastGood()}) {
            for (ConfigKind kind :
                    manifest == null
                            ? List.<ConfigKind>of()
                            : List.copyOf(manifest.entries().keySet())) {
                byte[] text = source.text(manifest.textDigest(kind));
                if (text != null) {
                    texts.put(manifest.textDigest(kind), new String(text, StandardCharsets.UTF_8));
                }
            }
        }
        JsonNode nodes = state.get("nodes");
        source.releaseLoaded();
        return new StoredState(
                rolloutState, texts, nodes == null || nodes.isNull() ? null : nodes.toString());
    }

    /**
     * Encodes the state for {@link #save}. Called on the loop's thread, so that all parts of the
     * state are of the same moment.
     *
     * @param nodeList may be null
     */
    byte[] encodeState(PersistedState rolloutState, String nodeList, ControlMessageCodec codec) {
        ObjectNode state = json.createObjectNode().put("format", FORMAT);
        state.set(
                "in_force",
                rolloutState.inForce() == null
                        ? null
                        : codec.encodeManifest(rolloutState.inForce()));
        state.set(
                "good",
                rolloutState.lastGood() == null
                        ? null
                        : codec.encodeManifest(rolloutState.lastGood()));
        state.put("starts", rolloutState.trialStarts())
                .put("seen_epoch", rolloutState.newestSeenEpoch())
                .put("seen_number", rolloutState.newestSeenNumber());
        ArrayNode rejected = state.putArray("refused");
        for (PersistedState.RejectedVersion rejectedVersion : rolloutState.rejected()) {
            rejected.addObject()
                    .put("canonical", rejectedVersion.canonicalText())
                    .put("epoch", rejectedVersion.epoch())
                    .put("number", rejectedVersion.number())
                    .put("stage", rejectedVersion.stage().wireName())
                    .put("reason", rejectedVersion.reason());
        }
        try {
            state.set("nodes", nodeList == null ? null : json.readTree(nodeList));
            return json.writeValueAsBytes(state);
        } catch (JsonProcessingException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    /**
     * Saves a state, and blocks until it is on disk.
     *
     * @param textsByDigest all texts that the versions in the state refer to
     * @return null if the state is on disk, else why it is not
     */
    String save(byte[] state, Map<String, String> textsByDigest) {
        if (store == null) {
            return problem;
        }
        Map<String, byte[]> bytes = new TreeMap<>();
        textsByDigest.forEach(
                (digest, text) -> bytes.put(digest, text.getBytes(StandardCharsets.UTF_8)));
        try {
            store.save(state, bytes);
            problem = null;
        } catch (IOException failure) {
            problem = "the state can't be written: " + failure.getMessage();
        }
        return problem;
    }

    @Override
    public void close() {
        if (store != null) {
            store.close();
        }
    }
}
