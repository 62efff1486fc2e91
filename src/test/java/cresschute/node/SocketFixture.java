package cresschute.node;

/** Constants and helpers shared by the protocol tests over real sockets. */
abstract class SocketFixture {

    static final String DONE =
            "{\"id\":\"r1\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"yes\"}\n";

    static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String line(String rest) {
        return "{\"id\":\"r1\",\"from\":\"s-1\"," + rest + "}\n";
    }
}
