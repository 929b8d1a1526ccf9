package gladewing.buffer;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Holds the bytes that a connection has received and not yet consumed, in one array. The array
 * grows as needed up to a limit, is compacted in place, and if it has grown large is released once
 * it is empty, so that an idle connection holds little memory. Indices count from the first byte
 * held.
 */
public final class ConnectionBuffer {
    /** The size of the first array, in bytes. */
    private static final int INITIAL_CAPACITY = 512;

    /** The largest array, in bytes, that is kept while empty. */
    private static final int MAX_EMPTY_CAPACITY = 4096;

    private final int maxBytes;
    private byte[] bytes = new byte[0];
    private int start;
    private int end;

    public ConnectionBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Moves all readable bytes into the buffer, or none and returns false if it can't hold them.
     */
    public boolean append(ByteBuf in) {
        int added = in.readableBytes();
        if (size() + added > maxBytes) {
            return false;
        }
        makeRoom(added);
        in.readBytes(bytes, end, added);
        end += added;
        return true;
    }

    private void makeRoom(int added) {
        if (end + added <= bytes.length) {
            return;
        }
        int size = size();
        byte[] target = bytes;
        if (size + added > bytes.length) {
            int capacity = Math.max(INITIAL_CAPACITY, bytes.length);
            while (capacity < size + added) {
                capacity *= 2;
            }
            target = new byte[Math.min(capacity, Math.max(maxBytes, INITIAL_CAPACITY))];
        }
        System.arraycopy(bytes, start, target, 0, size);
        bytes = target;
        start = 0;
        end = size;
    }

    /** Returns how many bytes are held. */
    public int size() {
        return end - start;
    }

    /** Returns how much memory the bytes and the room for further ones take, in bytes. */
    public int capacity() {
        return bytes.length;
    }

    /** Removes all bytes, and the memory for them. */
    public void clear() {
        start = 0;
        end = 0;
        bytes = new byte[0];
    }

    /** Returns the byte at an index. */
    public byte byteAt(int index) {
        return bytes[start + index];
    }

    /** Returns the index of the first byte of a value at or after an index, or -1. */
    public int indexOf(byte value, int fromIndex) {
        for (int i = start + fromIndex; i < end; i++) {
            if (bytes[i] == value) {
                return i - start;
            }
        }
        return -1;
    }

    /** Returns a copy of some bytes; they stay in the buffer. */
    public byte[] copy(int fromIndex, int length) {
        return Arrays.copyOfRange(bytes, start + fromIndex, start + fromIndex + length);
    }

    /** Copies bytes from the front into an array; they stay in the buffer. */
    public void copyTo(byte[] target, int targetIndex, int length) {
        System.arraycopy(bytes, start, target, targetIndex, length);
    }

    /** Returns some bytes as ISO-8859-1 text; they stay in the buffer. */
    public String latin1Text(int fromIndex, int length) {
        return new String(bytes, start + fromIndex, length, StandardCharsets.ISO_8859_1);
    }

    /** Removes bytes from the front. */
    public void skip(int count) {
        start += count;
        if (start == end) {
            start = 0;
            end = 0;
            if (bytes.length > MAX_EMPTY_CAPACITY) {
                bytes = new byte[0];
            }
        }
    }
}
