package cresschute.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes messages to datagrams and decodes them. The format is big-endian: version (1 byte), flags
 * (1), sender (4), incarnation (8), sequence (4), cycle (4), first and last key of the range (4
 * each), then for each entry its key (4) and its count (a varint), and at the end an authentication
 * tag: the first 16 bytes of the HMAC-SHA-256 of all bytes before it with the shared key. Not
 * thread-safe.
 */
public final class LoadMessageCodec {

    /** The longest message, bytes: its datagram is not fragmented on usual paths. */
    public static final int MAX_MESSAGE_BYTES = 1_200;

    /** The shortest key of the authentication tag, bytes. */
    public static final int MIN_KEY_BYTES = 16;

    static final int VERSION = 1;
    private static final int FLAG_LEAVING = 1;
    private static final int HEADER_BYTES = 1 + 1 + 4 + 8 + 4 + 4 + 4 + 4;
    private static final int TAG_BYTES = 16;

    /** A message without entries, bytes. */
    public static final int MIN_MESSAGE_BYTES = HEADER_BYTES + TAG_BYTES;

    private static final long UNSIGNED_INT = 0xffff_ffffL;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MORE = 0x80;
    private static final int MAX_VARINT_BYTES = 5;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    /**
     * Creates a codec.
     *
     * @param key the key that all dispatchers of the site have
     * @throws IllegalArgumentException if it has less than {@link #MIN_KEY_BYTES}
     */
    public LoadMessageCodec(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException("a key has at least " + MIN_KEY_BYTES + " bytes");
        }
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** Length of an entry in a datagram, bytes. */
    static int entryBytes(int count) {
        int bytes = Integer.BYTES + 1;
        for (int remaining = count >>> VARINT_BITS; remaining != 0; remaining >>>= VARINT_BITS) {
            bytes++;
        }
        return bytes;
    }

    /** Length of a message in a datagram, bytes. */
    public static int messageBytes(LoadMessage message) {
        return MIN_MESSAGE_BYTES
                + message.entries().stream().mapToInt(each -> entryBytes(each.count())).sum();
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if it is longer than {@link #MAX_MESSAGE_BYTES}
     */
    public byte[] encode(LoadMessage message) {
        final int size = messageBytes(message);
        if (size > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("a message of " + size + " bytes");
        }
        final ByteBuffer out = ByteBuffer.allocate(size);
        out.put((byte) VERSION)
                .put((byte) (message.leaving() ? FLAG_LEAVING : 0))
                .putInt(message.sender())
                .putLong(message.incarnation())
                .putInt((int) message.sequence())
                .putInt((int) message.cycle())
                .putInt(message.range().first())
                .putInt(message.range().last());
        for (final LoadEntry entry : message.entries()) {
            out.putInt(entry.key());
            putVarint(out, entry.count());
        }
        out.put(tag(out.array(), size - TAG_BYTES));
        return out.array();
    }

    /**
     * Decodes a message.
     *
     * @throws RejectedMessageException if the bytes are not an authentic message of this version
     */
    public LoadMessage decode(byte[] bytes) throws RejectedMessageException {
        if (bytes.length < MIN_MESSAGE_BYTES) {
            throw new RejectedMessageException(RejectionReason.TOO_SHORT);
        }
        if (bytes.length > MAX_MESSAGE_BYTES) {
            throw new RejectedMessageException(RejectionReason.TOO_LONG);
        }
        if (bytes[0] != VERSION) {
            throw new RejectedMessageException(RejectionReason.OTHER_VERSION);
        }
        final int authenticated = bytes.length - TAG_BYTES;
        if (!MessageDigest.isEqual(
                tag(bytes, authenticated),
                Arrays.copyOfRange(bytes, authenticated, bytes.length))) {
            throw new RejectedMessageException(RejectionReason.NOT_AUTHENTIC);
        }
        try {
            return read(ByteBuffer.wrap(bytes, 1, authenticated - 1));
        } catch (BufferUnderflowException e) {
            throw new RejectedMessageException(RejectionReason.MALFORMED);
        }
    }

    private static LoadMessage read(ByteBuffer in) throws RejectedMessageException {
        final int flags = in.get();
        final int sender = in.getInt();
        final long incarnation = in.getLong();
        final long sequence = in.getInt() & UNSIGNED_INT;
        final long cycle = in.getInt() & UNSIGNED_INT;
        final KeyRange range = new KeyRange(in.getInt(), in.getInt());
        final List<LoadEntry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            entries.add(new LoadEntry(in.getInt(), varint(in)));
        }
        if ((flags & ~FLAG_LEAVING) != 0 || incarnation < 0 || sequence == 0 || cycle == 0) {
            throw new RejectedMessageException(RejectionReason.MALFORMED);
        }
        return new LoadMessage(
                sender, incarnation, sequence, cycle, flags == FLAG_LEAVING, range, entries);
    }

    private byte[] tag(byte[] bytes, int length) {
        mac.update(bytes, 0, length);
        return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
    }

    private static void putVarint(ByteBuffer out, int value) {
        int remaining = value;
        while (remaining >>> VARINT_BITS != 0) {
            out.put((byte) (remaining | VARINT_MORE));
            remaining >>>= VARINT_BITS;
        }
        out.put((byte) remaining);
    }

    private static int varint(ByteBuffer in) throws RejectedMessageException {
        long value = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            final int next = in.get();
            value |= (long) (next & ~VARINT_MORE & 0xff) << (i * VARINT_BITS);
            if ((next & VARINT_MORE) == 0) {
                if (value > Integer.MAX_VALUE) {
                    break;
                }
                return (int) value;
            }
        }
        throw new RejectedMessageException(RejectionReason.MALFORMED);
    }
}
