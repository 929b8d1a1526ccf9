package gladewing.durable;

import java.io.IOException;
import java.util.List;

/**
 * The file operations that {@link StateStore} needs of one directory.
 *
 * <p>The creation, renaming or deletion of a file is durable only after a later {@link #sync()} of
 * the directory. Written bytes are durable only after a later {@link OutputFile#sync()} of the
 * file. A crash before that may leave any of these changes complete, partial or undone,
 * independently of their order.
 */
public interface StateDirectory extends AutoCloseable {
    /** Returns the names of the regular files, sorted. */
    List<String> fileNames() throws IOException;

    /** Returns the whole content of a file. */
    byte[] read(String name) throws IOException;

    /** Creates a file, or truncates the existing file of that name. */
    OutputFile create(String name) throws IOException;

    /** Opens an existing file for writing at its end. */
    OutputFile openForAppend(String name) throws IOException;

    /** Renames a file and atomically replaces a file that has the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Makes all earlier creations, renames and deletions durable. */
    void sync() throws IOException;

    /** Releases the directory to other writers. */
    @Override
    void close();

    /** A file that is open for writing. */
    interface OutputFile extends AutoCloseable {
        /** Writes all the bytes. */
        void write(byte[] bytes) throws IOException;

        /** Makes all bytes written so far durable. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }
}
