package gladewing.control;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The opening of the folder that versions are saved in. */
class ControlStateStoreTest {
    private static final int FAULT_MILLIS = 300;

    @TempDir Path folder;

    /** Guards against versions that are never saved after the folder could not be used once. */
    @Test
    void opensAFolderThatCannotBeUsedForAMoment() throws Exception {
        Path path = folder.resolve("state");
        Files.writeString(path, "a file where the folder is to be");
        Thread mending =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(FAULT_MILLIS);
                                Files.delete(path);
                            } catch (IOException | InterruptedException failed) {
                                throw new IllegalStateException(failed);
                            }
                        });
        mending.start();
        ControlStateStore store = ControlStateStore.open(path);
        mending.join();
        assertNull(store.problem());
        assertNotNull(store.store());
        store.store().close();
    }
}
