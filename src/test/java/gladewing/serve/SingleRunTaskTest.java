package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class SingleRunTaskTest {
    private final Queue<Runnable> queued = new ArrayDeque<>();
    private int runs;

    /** Guards against rereads of the configuration that pile up while the file reads slowly. */
    @Test
    void requestsDuringARunAreDropped() {
        SingleRunTask task = new SingleRunTask(queued::add, () -> runs++);
        for (int i = 0; i < 100; i++) {
            task.run();
        }
        assertEquals(1, queued.size());
        queued.remove().run();
        assertEquals(1, runs);
        task.run();
        assertEquals(1, queued.size());
    }

    /** A run that fails does not keep later ones from running. */
    @Test
    void aFailedRunIsFollowedByOthers() {
        SingleRunTask task =
                new SingleRunTask(
                        queued::add,
                        () -> {
                            throw new IllegalStateException("failed");
                        });
        task.run();
        assertThrows(IllegalStateException.class, queued.remove()::run);
        task.run();
        assertEquals(1, queued.size());
    }
}
