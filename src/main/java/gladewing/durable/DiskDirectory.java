package gladewing.durable;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A directory on disk. The one process that writes to it holds a lock on a file in it. The
 * operating system releases the lock when the process ends, even if it crashes.
 */
public final class DiskDirectory implements StateDirectory {
    private static final String LOCK_FILE = "lock";

    /** No file written by this program is longer; reading a longer one could exhaust memory. */
    private static final long MAX_FILE_BYTES = 256L << 20;

    private final Path path;

    /** Holds the lock; null for a directory opened read-only. */
    private final FileChannel lockChannel;

    private DiskDirectory(Path path, FileChannel lockChannel) {
        this.path = path;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens an existing directory for reading only. Takes no lock, so another process may be
     * writing to it.
     *
     * @throws IOException if the path is not a directory
     */
    public static DiskDirectory openReadOnly(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            throw new IOException(path + " is not a directory");
        }
        return new DiskDirectory(path, null);
    }

    /**
     * Opens a directory for writing and locks it. Creates the directory if it does not exist.
     *
     * @throws IOException if the directory can't be created or written, or is locked already
     */
    public static DiskDirectory openForWriting(Path path) throws IOException {
        Files.createDirectories(path);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return new DiskDirectory(path, channel);
            }
        } catch (OverlappingFileLockException lockedByThisProcess) {
            // Reported below like a lock held by another process.
        }
        channel.close();
        throw new IOException("another process uses " + path);
    }

    @Override
    public List<String> fileNames() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(path, Files::isRegularFile)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        } catch (UncheckedIOException wrapped) {
            throw wrapped.getCause();
        }
        names.remove(LOCK_FILE);
        names.sort(null);
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        long size = Files.size(path.resolve(name));
        if (size > MAX_FILE_BYTES) {
            throw new IOException(
                    name + " has " + size + " bytes, more than the limit of " + MAX_FILE_BYTES);
        }
        return Files.readAllBytes(path.resolve(name));
    }

    @Override
    public OutputFile create(String name) throws IOException {
        return new DiskOutputFile(
                FileChannel.open(
                        path.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public OutputFile openForAppend(String name) throws IOException {
        return new DiskOutputFile(
                FileChannel.open(
                        path.resolve(name), StandardOpenOption.WRITE, StandardOpenOption.APPEND));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                path.resolve(from),
                path.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override
    public void close() {
        try {
            if (lockChannel != null) {
                lockChannel.close();
            }
        } catch (IOException closeFailed) {
            // The lock is released with the channel even if closing it fails.
        }
    }

    private record DiskOutputFile(FileChannel channel) implements OutputFile {
        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
