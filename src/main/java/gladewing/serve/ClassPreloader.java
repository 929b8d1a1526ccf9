package gladewing.serve;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.jar.JarFile;
import java.util.logging.Logger;
import java.util.stream.Stream;

/**
 * Loads the classes that the router may need, before it serves. A class that is loaded later, such
 * as that of an error which has not occurred yet, is read from disk then; if that fails, the class
 * can't be had for good, and the event loop ends with the error.
 */
final class ClassPreloader {
    private static final Logger LOG = Logger.getLogger(ClassPreloader.class.getName());
    private static final String CLASS_SUFFIX = ".class";

    /** One class of each archive that holds some of {@link #PACKAGES}. */
    private static final List<Class<?>> ANCHORS =
            List.of(ClassPreloader.class, Bootstrap.class, ByteBuf.class, Future.class);

    /** Packages of `serve` without its options, and of the transport, as prefixes of entries. */
    private static final List<String> PACKAGES =
            List.of(
                    "gladewing/buffer/",
                    "gladewing/clients/",
                    "gladewing/config/",
                    "gladewing/decisions/",
                    "gladewing/discovery/",
                    "gladewing/events/",
                    "gladewing/files/",
                    "gladewing/frames/",
                    "gladewing/http/",
                    "gladewing/json/",
                    "gladewing/lifecycle/",
                    "gladewing/loop/",
                    "gladewing/nodes/",
                    "gladewing/router/",
                    "gladewing/serve/",
                    "gladewing/sockets/",
                    "io/netty/bootstrap/",
                    "io/netty/buffer/",
                    "io/netty/channel/",
                    "io/netty/util/");

    /** Parts of those packages that the router does not use. */
    private static final List<String> UNUSED =
            List.of(
                    "gladewing/clients/RouteLookup",
                    "gladewing/serve/AttemptsReloader",
                    "gladewing/serve/ControlIntegration",
                    "gladewing/serve/RoutesReloader",
                    "gladewing/serve/SessionConfig",
                    "io/netty/channel/group/",
                    "io/netty/channel/local/",
                    "io/netty/channel/pool/",
                    "io/netty/channel/socket/oio/",
                    "io/netty/channel/oio/",
                    "io/netty/util/internal/svm/");

    private ClassPreloader() {}

    /** Loads the classes; returns how many. */
    static int run() {
        Set<Path> archives = new LinkedHashSet<>();
        for (Class<?> anchor : ANCHORS) {
            archives.add(archiveOf(anchor));
        }
        int loaded = 0;
        for (Path archive : archives) {
            try {
                for (String entry : entries(archive)) {
                    loaded += isNeeded(entry) && load(entry) ? 1 : 0;
                }
            } catch (IOException unreadable) {
                LOG.warning("classes are not loaded in advance: " + unreadable);
            }
        }
        return loaded;
    }

    private static Path archiveOf(Class<?> type) {
        try {
            return Path.of(type.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static List<String> entries(Path archive) throws IOException {
        if (Files.isDirectory(archive)) {
            try (Stream<Path> files = Files.walk(archive)) {
                return files.map(file -> archive.relativize(file).toString()).toList();
            }
        }
        try (JarFile jar = new JarFile(archive.toFile())) {
            return jar.stream().map(entry -> entry.getName()).toList();
        }
    }

    private static boolean isNeeded(String entry) {
        return entry.endsWith(CLASS_SUFFIX)
                && PACKAGES.stream().anyMatch(entry::startsWith)
                && UNUSED.stream().noneMatch(entry::startsWith);
    }

    private static boolean load(String entry) {
        String name = entry.substring(0, entry.length() - CLASS_SUFFIX.length()).replace('/', '.');
        try {
            Class.forName(name, false, ClassPreloader.class.getClassLoader());
            return true;
        } catch (ClassNotFoundException | LinkageError unusable) {
            // It depends on a library that is not there, so it is never used.
            return false;
        }
    }
}
