package gladewing.cli;

import gladewing.buffer.Utf8;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads files that are named on the command line. */
final class TextFile {
    private TextFile() {}

    /**
     * @throws Commands.CommandFailedException if the file can't be read
     */
    static byte[] readBytes(String path) {
        try {
            return Files.readAllBytes(Path.of(path));
        } catch (IOException | InvalidPathException exception) {
            throw new Commands.CommandFailedException("cannot read " + path + ": " + exception);
        }
    }

    /**
     * @throws Commands.CommandFailedException if the file can't be read, or is not UTF-8
     */
    static String read(String path) {
        try {
            return Utf8.decode(readBytes(path));
        } catch (CharacterCodingException malformed) {
            throw new Commands.CommandFailedException("cannot read " + path + ": not UTF-8");
        }
    }
}
