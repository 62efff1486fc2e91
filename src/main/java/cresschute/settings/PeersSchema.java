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
                    "the UDP address on which this dispatcher receives datagrams and from which it"
                            + " sends");
    static final Field<List<InetSocketAddress>> PEERS_ADDRESSES =
            required(
                    "addresses",
                    FieldType.addresses(),
                    "the UDP addresses of the other dispatchers; one less than `dispatchers` of"
                            + " `node`");
    static final Field<String> PEERS_KEY_FILE =
            required(
                    "key_file",
                    FieldType.path(),
                    "the path of the key file, at least 16 bytes and the same at every dispatcher,"
                            + " with which messages are authenticated");
    static final Field<Long> PEERS_BYTES_PER_SECOND =
            optional(
                    "bytes_per_second",
                    FieldType.integer(100, 1_000_000),
                    3_000L,
                    "maximum send rate in bytes per second to all other dispatchers together; at"
                            + " least 100 for each of them");
    static final Block PEERS =
            new Block(
                    "peers",
                    0,
                    1,
                    "the other dispatchers, with which this one exchanges in-flight counts; without"
                            + " the block, it exchanges none",
                    List.of(PEERS_LISTEN, PEERS_ADDRESSES, PEERS_KEY_FILE, PEERS_BYTES_PER_SECOND));

    private PeersSchema() {}
}
