package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;

import java.net.InetSocketAddress;
import java.util.List;

/** Schema of the block for the gossip exchange with the other dispatchers. */
final class PeersSchema {

    static final Field<InetSocketAddress> PEERS_LISTEN =
            required(
                    "listen",
                    FieldType.address(),
                    "where this dispatcher takes the others' datagrams (UDP), and where it sends"
                            + " from");
    static final Field<List<InetSocketAddress>> PEERS_ADDRESSES =
            required(
                    "addresses",
                    FieldType.addresses(),
                    "where each of the other dispatchers listens; `dispatchers` of `node` is one"
                            + " more than these");
    static final Field<String> PEERS_KEY_FILE =
            required(
                    "key_file",
                    FieldType.path(),
                    "a file of 16 bytes or more, the same at every dispatcher, that messages are"
                            + " authenticated with");
    static final Field<Long> PEERS_BYTES_PER_SECOND =
            optional(
                    "bytes_per_second",
                    FieldType.integer(100, 1_000_000),
                    3_000L,
                    "bytes a second that it sends at the most, to all others together; at least 100"
                            + " for each of them");
    static final Block PEERS =
            new Block(
                    "peers",
                    0,
                    1,
                    "the other dispatchers, with which this one exchanges in-flight counts; without"
                            + " it, it does not",
                    List.of(PEERS_LISTEN, PEERS_ADDRESSES, PEERS_KEY_FILE, PEERS_BYTES_PER_SECOND));

    private PeersSchema() {}
}
