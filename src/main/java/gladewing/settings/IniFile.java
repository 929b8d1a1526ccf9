package gladewing.settings;

import gladewing.files.RepeatedFileCall;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ini4j.Config;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * A settings file in INI form, with its sections and keys in the order of the file. Lines that are
 * not INI and duplicate sections or keys are faults. A backslash at the end of a line continues it
 * on the next line; anywhere else it is an ordinary character.
 */
public final class IniFile {
    /**
     * Largest file that is read. It has room for a table of 10,000 long routes, and keeps a file
     * that was named by mistake from filling the memory.
     */
    private static final long MAX_BYTES = 16 << 20;

    public final String name;
    private final Map<String, Section> sections = new LinkedHashMap<>();
    private final List<Fault> faults = new ArrayList<>();

    private IniFile(String name) {
        this.name = name;
    }

    /**
     * Reads a file. Errors, also of reading it, are not thrown; they are collected in {@link
     * #faults()}.
     */
    public static IniFile read(String path) {
        IniFile file = new IniFile(path);
        try {
            Path filePath = Path.of(path);
            long size = Files.size(filePath);
            if (size > MAX_BYTES) {
                file.fault("", "", size + " bytes, wanted: at most " + MAX_BYTES);
                return file;
            }
            byte[] content = RepeatedFileCall.run(() -> Files.readAllBytes(filePath));
            file.parse(
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(content))
                            .toString());
        } catch (CharacterCodingException e) {
            file.fault("", "", "not UTF-8");
        } catch (IOException | InvalidPathException e) {
            file.fault("", "", "can't be read: " + e);
        }
        return file;
    }

    /**
     * Parses a text.
     *
     * @param name file name that faults are reported with
     */
    public static IniFile of(String name, String text) {
        IniFile file = new IniFile(name);
        try {
            file.parse(text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return file;
    }

    /** The sections, in the order of the file. */
    public List<Section> sections() {
        return List.copyOf(sections.values());
    }

    /** The section with this name, or an empty one if the file has none. */
    public Section section(String sectionName) {
        Section existing = sections.get(sectionName);
        return existing != null ? existing : new Section(this, sectionName);
    }

    /** Adds a fault; section and key may be empty. */
    public void fault(String section, String key, String what) {
        faults.add(new Fault(name, section, key, what));
    }

    /** The faults found so far, in the order in which they were found. */
    public List<Fault> faults() {
        return faults;
    }

    /**
     * Checks that the file is valid so far.
     *
     * @throws InvalidSettingsException with all faults, if there are any
     */
    public void check() {
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(faults);
        }
    }

    private void parse(String text) throws IOException {
        Config config = new Config();
        config.setEscape(false);
        config.setEscapeNewline(true);
        config.setEmptyOption(true);
        config.setEmptySection(true);
        config.setInclude(false);
        config.setStrictOperator(false);
        FaultCollectingParser parser = new FaultCollectingParser();
        parser.setConfig(config);
        parser.parse(new StringReader(text), new Handler());
    }

    /** Continues after an invalid line, so that all invalid lines are reported at once. */
    private final class FaultCollectingParser extends IniParser {
        @Override
        protected void setConfig(Config config) {
            super.setConfig(config);
        }

        @Override
        protected void parseError(String line, int lineNumber) {
            fault(
                    "",
                    "",
                    "line "
                            + lineNumber
                            + " is neither [SECTION], KEY = VALUE nor a comment: "
                            + (line.length() > 60 ? line.substring(0, 60) + "..." : line));
        }
    }

    private final class Handler implements IniHandler {
        private Section currentSection = new Section(IniFile.this, "");

        @Override
        public void startSection(String section) {
            String sectionName = section.strip().replaceAll("\\s+", " ");
            currentSection = new Section(IniFile.this, sectionName);
            if (sections.putIfAbsent(sectionName, currentSection) != null) {
                fault(sectionName, "", "duplicate section");
            }
        }

        @Override
        public void handleOption(String key, String value) {
            if (value == null) {
                fault(currentSection.name, key, "no value, wanted: KEY = VALUE");
            } else if (currentSection.values.putIfAbsent(key, value) != null) {
                fault(currentSection.name, key, "duplicate key");
            }
        }

        @Override
        public void handleComment(String comment) {}

        @Override
        public void startIni() {}

        @Override
        public void endIni() {}

        @Override
        public void endSection() {}
    }
}
