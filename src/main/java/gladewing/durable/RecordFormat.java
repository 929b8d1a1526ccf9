package gladewing.durable;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes a file of records. The file has a header of eight bytes, which ends with the
 * version of the format, followed by records. A record consists of a marker (4 bytes), the length
 * of the body (4 bytes), the type (1 byte), a CRC-32C checksum of length, type and body (4 bytes),
 * and the body; numbers are big-endian. A record that is incomplete or fails its checksum is
 * ignored.
 */
final class RecordFormat {
    /** The last byte is the version of the format. */
    private static final byte[] HEADER = "GLADEW-1".getBytes(StandardCharsets.US_ASCII);

    private static final int RECORD_MARKER = 0x7e9d51c3;
    private static final int RECORD_OVERHEAD = 4 + 4 + 1 + 4;

    /** A longer body means that the record is invalid; this program saves nothing that long. */
    static final int MAX_BODY_BYTES = 64 << 20;

    private RecordFormat() {}

    /** One valid record. */
    record DecodedRecord(byte type, byte[] body) {}

    /**
     * The content of a file.
     *
     * @param records the valid records before the first error
     * @param recordsAfterError the valid records after the first error
     * @param validBytes the length of the header and of the records before the first error
     * @param error what is wrong with the file; null if nothing is
     * @param isIncompleteWrite whether a crash during the last write explains the error
     * @param hasOwnFormat false if the header is of another version of this format
     */
    record DecodedFile(
            List<DecodedRecord> records,
            List<DecodedRecord> recordsAfterError,
            int validBytes,
            String error,
            boolean isIncompleteWrite,
            boolean hasOwnFormat) {}

    static byte[] header() {
        return HEADER.clone();
    }

    /** Returns the bytes of one record. */
    static byte[] encode(byte type, byte[] body) {
        ByteBuffer buffer = ByteBuffer.allocate(RECORD_OVERHEAD + body.length);
        buffer.putInt(RECORD_MARKER)
                .putInt(body.length)
                .put(type)
                .putInt(checksum(type, body, 0, body.length))
                .put(body);
        return buffer.array();
    }

    private static int checksum(byte type, byte[] bytes, int start, int length) {
        CRC32C crc = new CRC32C();
        crc.update(length >>> 24);
        crc.update(length >>> 16);
        crc.update(length >>> 8);
        crc.update(length);
        crc.update(type);
        crc.update(bytes, start, length);
        return (int) crc.getValue();
    }

    /** Decodes a whole file; never throws because of its content. */
    static DecodedFile decode(byte[] file) {
        List<DecodedRecord> records = new ArrayList<>();
        List<DecodedRecord> recordsAfterError = new ArrayList<>();
        if (file.length < HEADER.length) {
            boolean isHeaderPrefix = Arrays.equals(file, Arrays.copyOf(HEADER, file.length));
            return new DecodedFile(
                    records,
                    recordsAfterError,
                    0,
                    "the file header is incomplete",
                    isHeaderPrefix,
                    true);
        }
        if (!Arrays.equals(file, 0, HEADER.length, HEADER, 0, HEADER.length)) {
            boolean isAllZeros = true;
            for (byte b : file) {
                isAllZeros &= b == 0;
            }
            boolean isOtherVersion =
                    Arrays.equals(file, 0, HEADER.length - 1, HEADER, 0, HEADER.length - 1);
            String error =
                    isOtherVersion
                            ? "its format version is "
                                    + (char) file[HEADER.length - 1]
                                    + ", this program reads version "
                                    + (char) HEADER[HEADER.length - 1]
                            : "the file header is not that of a state file";
            return new DecodedFile(
                    records,
                    recordsAfterError,
                    0,
                    error,
                    isAllZeros,
                    isAllZeros || !isOtherVersion);
        }
        int offset = HEADER.length;
        while (offset < file.length) {
            DecodedRecord record = decodeAt(file, offset);
            if (record == null) {
                break;
            }
            records.add(record);
            offset += RECORD_OVERHEAD + record.body.length;
        }
        if (offset == file.length) {
            return new DecodedFile(records, recordsAfterError, offset, null, false, true);
        }
        for (int next = offset + 1; next + RECORD_OVERHEAD <= file.length; next++) {
            DecodedRecord record =
                    file[next] == (byte) (RECORD_MARKER >>> 24) ? decodeAt(file, next) : null;
            if (record != null) {
                recordsAfterError.add(record);
                next += RECORD_OVERHEAD + record.body.length - 1;
            }
        }
        // A write that was not synced may leave truncated, zeroed or mixed bytes at the end, but no
        // valid record can follow them. If one does, the file was damaged in another way.
        return new DecodedFile(
                records,
                recordsAfterError,
                offset,
                "from byte "
                        + offset
                        + " of "
                        + file.length
                        + " there is no valid record"
                        + (recordsAfterError.isEmpty()
                                ? ""
                                : ", but "
                                        + recordsAfterError.size()
                                        + " valid records follow the damaged bytes"),
                recordsAfterError.isEmpty(),
                true);
    }

    /** Returns null if no valid record begins at that offset. */
    private static DecodedRecord decodeAt(byte[] file, int offset) {
        if (file.length - offset < RECORD_OVERHEAD) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(file, offset, file.length - offset);
        int marker = buffer.getInt();
        int length = buffer.getInt();
        byte type = buffer.get();
        int storedChecksum = buffer.getInt();
        if (marker != RECORD_MARKER
                || length < 0
                || length > MAX_BODY_BYTES
                || length > buffer.remaining()
                || storedChecksum != checksum(type, file, offset + RECORD_OVERHEAD, length)) {
            return null;
        }
        return new DecodedRecord(
                type,
                Arrays.copyOfRange(
                        file, offset + RECORD_OVERHEAD, offset + RECORD_OVERHEAD + length));
    }
}
