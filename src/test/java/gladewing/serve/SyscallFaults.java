package gladewing.serve;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Makes system calls of a process fail, by the shim in {@code src/test/native/syscall_faults.c},
 * which is compiled with gcc and loaded into the process with LD_PRELOAD.
 */
public final class SyscallFaults {
    /** The kinds of calls, in the order of the shim's {@code enum call}. */
    public enum Call {
        READ,
        WRITE,
        ACCEPT,
        SOCKET,
        CONNECT,
        EPOLL_CTL,
        EPOLL_WAIT,
        FCNTL_SET_FLAGS,
        FCNTL_GET_FLAGS,
        SHUTDOWN,
        SETSOCKOPT,
        GETSOCKOPT,
        OPEN,
        FILE_READ,
        FILE_WRITE,
        FSYNC,
        THREAD_CREATE
    }

    /** Values of errno on Linux, and the shim's own value for a write of one byte. */
    public enum Error {
        SHORT_WRITE(-1),
        EINTR(4),
        EIO(5),
        EAGAIN(11),
        ENOMEM(12),
        ENOSPC(28),
        EMFILE(24),
        ENFILE(23),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ECONNRESET(104),
        ENOBUFS(105);

        private final int errno;

        Error(int errno) {
            this.errno = errno;
        }
    }

    private static final int FILE_BYTES = 4096;
    private static final int PORT_AT = 4;
    private static final int FAULTS_AT = 8;
    private static final int FAULT_BYTES = 16;
    private static final int PERMILLE_AT = 4;
    private static final int REMAINING_AT = 8;
    private static final int INJECTED_AT = 12;
    private static final int UNLIMITED = -1;
    public static final int ALWAYS = 1000;

    /** In place of a number of a thousand: each second call fails, the first one does not. */
    public static final int EVERY_SECOND = -1;

    private static Path library;

    private final Path controlFile;
    private final MappedByteBuffer control;

    /**
     * @param controlFile created; one for each process
     */
    public SyscallFaults(Path controlFile, int seed) throws IOException {
        this.controlFile = controlFile;
        try (RandomAccessFile file = new RandomAccessFile(controlFile.toFile(), "rw")) {
            file.setLength(FILE_BYTES);
            control = file.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
        }
        control.order(ByteOrder.nativeOrder());
        control.putInt(0, seed);
    }

    /** The environment variables that a process needs to be started with. */
    public Map<String, String> environment() throws IOException, InterruptedException {
        return Map.of("LD_PRELOAD", library().toString(), "SYSCALL_FAULTS", controlFile.toString());
    }

    private static synchronized Path library() throws IOException, InterruptedException {
        if (library == null) {
            Path built =
                    Files.createDirectories(Path.of("target/test-native"))
                            .resolve("libsyscallfaults-" + ProcessHandle.current().pid() + ".so")
                            .toAbsolutePath();
            Process compiler =
                    new ProcessBuilder(
                                    "gcc",
                                    "-Wall",
                                    "-Wextra",
                                    "-Werror",
                                    "-O2",
                                    "-shared",
                                    "-fPIC",
                                    "-o",
                                    built.toString(),
                                    "src/test/native/syscall_faults.c",
                                    "-ldl")
                            .inheritIO()
                            .start();
            if (compiler.waitFor() != 0) {
                throw new IOException("gcc could not compile the shim for system calls");
            }
            built.toFile().deleteOnExit();
            library = built;
        }
        return library;
    }

    /** Limits failing reads and writes to sockets with this local or remote port; 0 for all. */
    public void setPort(int port) {
        control.putInt(PORT_AT, port);
    }

    /** Makes calls fail from now on, this many of a thousand. */
    public void fail(Call call, Error error, int permille) {
        set(call, error, permille, UNLIMITED);
    }

    /** Makes the next calls fail, up to this number. */
    public void failNext(Call call, Error error, int count) {
        set(call, error, ALWAYS, count);
    }

    private void set(Call call, Error error, int permille, int remaining) {
        int at = FAULTS_AT + call.ordinal() * FAULT_BYTES;
        control.putInt(at + PERMILLE_AT, 0);
        control.putInt(at, error.errno);
        control.putInt(at + REMAINING_AT, remaining);
        control.putInt(at + PERMILLE_AT, permille);
    }

    /** Makes no more calls fail. */
    public void clear() {
        for (Call call : Call.values()) {
            control.putInt(FAULTS_AT + call.ordinal() * FAULT_BYTES + PERMILLE_AT, 0);
        }
    }

    /** How many calls of this kind have failed so far. */
    public int injected(Call call) {
        return control.getInt(FAULTS_AT + call.ordinal() * FAULT_BYTES + INJECTED_AT);
    }
}
