package gladewing.durable;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Stores one state, and the texts that it refers to by name, in a directory. After a crash at any
 * instant the store holds the state of the last completed save, or of a later save that was under
 * way, complete and with its texts; never an older state or a mixture of two.
 *
 * <p>The data is kept in generations, each of which is one file. A generation starts with the texts
 * and the state of one save, and each later save appends to it. When a file has grown too long, the
 * next generation is written to a temporary file, which is synced and renamed; it is durable once
 * the directory is synced. The last complete state of the newest generation is the current one.
 *
 * <p>Contents that a crash can't explain are treated as damage. A damaged store refuses to save
 * until an operator has it recovered, so that the remaining data can be examined.
 */
public final class StateStore implements AutoCloseable {
    private static final Pattern GENERATION_FILE = Pattern.compile("state-([0-9]{1,9})");
    private static final String TEMPORARY_FILE = "next";
    private static final byte TEXT_RECORD = 'T';
    private static final byte STATE_RECORD = 'S';
    private static final int TEXT_NAME_LENGTH = 64;

    /** How far a generation may exceed twice the size of the current data, by default. */
    private static final long DEFAULT_SLACK_BYTES = 1 << 20;

    private final StateDirectory directory;
    private final long slackBytes;
    private final List<String> findings = new ArrayList<>();
    private boolean isDamaged;

    /** Whether the newest file must not be appended to, so that the next save starts a new one. */
    private boolean needsNewGeneration = true;

    /** The number of the newest generation; -1 if there is none. */
    private int generation = -1;

    /** The file of the newest generation; null if there is none. */
    private String newestFile;

    private long generationBytes;

    /** The state found on opening; null if there is none or it was released. */
    private byte[] state;

    /** The texts found on opening, by name. */
    private final Map<String, byte[]> texts = new LinkedHashMap<>();

    /** The names of the texts that the newest generation contains. */
    private final Set<String> writtenTexts = new LinkedHashSet<>();

    /** The newest file, open for appending; null if it is not open. */
    private StateDirectory.OutputFile output;

    private StateStore(StateDirectory directory, long slackBytes) {
        this.directory = directory;
        this.slackBytes = slackBytes;
    }

    /**
     * Opens the store and loads its content. Writes nothing.
     *
     * @throws IOException if the directory or a file of the store can't be read
     */
    public static StateStore open(StateDirectory directory) throws IOException {
        return open(directory, DEFAULT_SLACK_BYTES);
    }

    /**
     * As {@link #open(StateDirectory)}, with another limit for the size of a generation.
     *
     * @param slackBytes how far a generation may exceed twice the size of the current data
     */
    static StateStore open(StateDirectory directory, long slackBytes) throws IOException {
        StateStore store = new StateStore(directory, slackBytes);
        store.load();
        return store;
    }

    private record Generation(String name, int number, RecordFormat.DecodedFile content) {}

    private void load() throws IOException {
        List<Generation> all = new ArrayList<>();
        for (String name : directory.fileNames()) {
            if (GENERATION_FILE.matcher(name).matches()) {
                all.add(
                        new Generation(
                                name,
                                Integer.parseInt(name.substring(name.indexOf('-') + 1)),
                                RecordFormat.decode(directory.read(name))));
            }
        }
        all.sort((a, b) -> Integer.compare(b.number, a.number));
        for (Generation candidate : all) {
            generation = Math.max(generation, candidate.number);
            boolean isNewest = newestFile == null;
            newestFile = isNewest ? candidate.name : newestFile;
            List<RecordFormat.DecodedRecord> validRecords =
                    new ArrayList<>(candidate.content.records());
            validRecords.addAll(candidate.content.recordsAfterError());
            boolean hasState = validRecords.stream().anyMatch(r -> r.type() == STATE_RECORD);
            if (candidate.content.error() != null) {
                findings.add(candidate.name + ": " + candidate.content.error());
            }
            // A file gets the name of a generation only after it was synced with its first state.
            // If it has no state, or valid records after an error, it was damaged after that.
            isDamaged |=
                    candidate.content.error() != null && !candidate.content.isIncompleteWrite()
                            || !hasState;
            if (!hasState) {
                findings.add(candidate.name + ": it contains no complete state");
                continue;
            }
            loadRecords(validRecords);
            generationBytes = candidate.content.validBytes();
            needsNewGeneration = !isNewest || isDamaged || candidate.content.error() != null;
            break;
        }
        if (isDamaged) {
            findings.add("damaged: nothing is written to this directory until it is recovered");
        }
    }

    private void loadRecords(List<RecordFormat.DecodedRecord> records) {
        for (RecordFormat.DecodedRecord record : records) {
            if (record.type() == STATE_RECORD) {
                state = record.body();
            } else if (record.type() == TEXT_RECORD && record.body().length >= TEXT_NAME_LENGTH) {
                String name =
                        new String(record.body(), 0, TEXT_NAME_LENGTH, StandardCharsets.US_ASCII);
                texts.put(
                        name,
                        Arrays.copyOfRange(record.body(), TEXT_NAME_LENGTH, record.body().length));
                writtenTexts.add(name);
            }
        }
    }

    /** Returns the last complete state found on opening; null if there is none. */
    public byte[] state() {
        return state;
    }

    /** Returns a text found on opening; null if there is none of that name. */
    public byte[] text(String name) {
        return texts.get(name);
    }

    /** Frees the memory of the state and texts found on opening. */
    public void releaseLoaded() {
        state = null;
        texts.clear();
    }

    /** Returns the problems found on opening, one line each; empty if there are none. */
    public List<String> findings() {
        return List.copyOf(findings);
    }

    /** Whether the store refuses to save until {@link #recoverDamaged} is called. */
    public boolean isDamaged() {
        return isDamaged;
    }

    /** Returns the size in bytes of the newest generation. */
    public long generationBytes() {
        return generationBytes;
    }

    /** Returns the number of the newest generation; -1 if there is none. */
    public int generation() {
        return generation;
    }

    /**
     * Saves a state with its texts, and returns once they are durable. Texts that the newest
     * generation already contains are not written again.
     *
     * @param newState the state that replaces the current one
     * @param newTexts all texts that the state refers to, by names of 64 characters
     * @throws IOException if the save fails; the state saved before is not lost, and a later call
     *     may succeed
     */
    public void save(byte[] newState, Map<String, byte[]> newTexts) throws IOException {
        if (isDamaged) {
            throw new IOException("the state directory is damaged: " + String.join("; ", findings));
        }
        byte[] appended = encodeSave(newState, newTexts, writtenTexts);
        long currentBytes = newState.length;
        for (byte[] text : newTexts.values()) {
            currentBytes += text.length;
        }
        if (needsNewGeneration
                || generationBytes + appended.length > 2 * currentBytes + slackBytes) {
            writeNewGeneration(encodeSave(newState, newTexts, Set.of()), newTexts);
            return;
        }
        boolean isDurable = false;
        try {
            if (output == null) {
                output = directory.openForAppend(newestFile);
            }
            output.write(appended);
            output.sync();
            isDurable = true;
        } finally {
            // After a failed write the file may end with part of a record. Nothing may be appended
            // to that, as a valid record after an incomplete one counts as damage.
            needsNewGeneration = !isDurable;
        }
        generationBytes += appended.length;
        writtenTexts.addAll(newTexts.keySet());
    }

    private static byte[] encodeSave(
            byte[] newState, Map<String, byte[]> newTexts, Set<String> omittedTexts) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        newTexts.forEach(
                (name, text) -> {
                    if (name.length() != TEXT_NAME_LENGTH) {
                        throw new IllegalArgumentException(
                                "the name of a text must have "
                                        + TEXT_NAME_LENGTH
                                        + " characters: "
                                        + name);
                    }
                    if (!omittedTexts.contains(name)) {
                        byte[] body =
                                Arrays.copyOf(
                                        name.getBytes(StandardCharsets.US_ASCII),
                                        TEXT_NAME_LENGTH + text.length);
                        System.arraycopy(text, 0, body, TEXT_NAME_LENGTH, text.length);
                        bytes.writeBytes(RecordFormat.encode(TEXT_RECORD, body));
                    }
                });
        bytes.writeBytes(RecordFormat.encode(STATE_RECORD, newState));
        return bytes.toByteArray();
    }

    private void writeNewGeneration(byte[] records, Map<String, byte[]> newTexts)
            throws IOException {
        needsNewGeneration = true;
        closeOutput();
        try (StateDirectory.OutputFile next = directory.create(TEMPORARY_FILE)) {
            next.write(RecordFormat.header());
            next.write(records);
            next.sync();
        }
        generation++;
        String name = "state-" + generation;
        directory.rename(TEMPORARY_FILE, name);
        directory.sync();
        newestFile = name;
        generationBytes = RecordFormat.header().length + records.length;
        writtenTexts.clear();
        writtenTexts.addAll(newTexts.keySet());
        needsNewGeneration = false;
        deleteOldGenerations();
    }

    /**
     * Deletes the older generations, which is safe now that the newest is durable. A file that
     * can't be deleted is tried again after the next generation is written.
     */
    private void deleteOldGenerations() {
        try {
            for (String old : directory.fileNames()) {
                if (GENERATION_FILE.matcher(old).matches() && !old.equals(newestFile)) {
                    directory.delete(old);
                }
            }
        } catch (IOException deleteFailed) {
            // The newest generation has the highest number, so the remaining ones are not used.
        }
    }

    /**
     * Recovers a damaged store: renames all generations so that their names start with "aside-",
     * and saves the last complete state that was found, if any, in a new one.
     *
     * @return what was done, one line per step
     */
    public List<String> recoverDamaged() throws IOException {
        List<String> done = new ArrayList<>();
        Map<String, byte[]> found = new LinkedHashMap<>(texts);
        for (String name : directory.fileNames()) {
            if (GENERATION_FILE.matcher(name).matches()) {
                directory.rename(name, "aside-" + name);
                done.add(name + " is renamed to aside-" + name);
            }
        }
        directory.sync();
        isDamaged = false;
        needsNewGeneration = true;
        newestFile = null;
        if (state != null) {
            save(state, found);
            done.add("the last complete state that was found is in " + newestFile);
        } else {
            done.add("no complete state was found: the store is empty now");
        }
        findings.clear();
        return done;
    }

    private void closeOutput() {
        try {
            if (output != null) {
                output.close();
            }
        } catch (IOException closeFailed) {
            // Every save that was reported as successful has been synced.
        }
        output = null;
    }

    @Override
    public void close() {
        closeOutput();
        directory.close();
    }
}
