package cresschute.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** IP literals with ports. Nothing is ever looked up: there is no DNS, and a name is no address. */
final class IpAddress {

    private static final Pattern V4 =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    /** What can only be an IPv6 literal: the JDK takes a text in brackets for nothing else. */
    private static final Pattern V6 = Pattern.compile("(\\[[0-9a-fA-F:.]{2,45}\\]):(\\d{1,5})");

    private static final int BYTES = 4;
    private static final int MOST_BYTE = 255;
    private static final int MOST_PORT = 65_535;

    private IpAddress() {}

    /** The address that a text gives, or null. */
    static InetSocketAddress parse(String text) {
        try {
            final Matcher v4 = V4.matcher(text);
            if (v4.matches()) {
                final byte[] ip = new byte[BYTES];
                for (int i = 0; i < BYTES; i++) {
                    final int part = Integer.parseInt(v4.group(i + 1));
                    if (part > MOST_BYTE) {
                        return null;
                    }
                    ip[i] = (byte) part;
                }
                return at(InetAddress.getByAddress(ip), v4.group(BYTES + 1));
            }
            final Matcher v6 = V6.matcher(text);
            return v6.matches() ? at(InetAddress.getByName(v6.group(1)), v6.group(2)) : null;
        } catch (UnknownHostException e) {
            return null;
        }
    }

    private static InetSocketAddress at(InetAddress ip, String port) {
        final int number = Integer.parseInt(port);
        return number > MOST_PORT ? null : new InetSocketAddress(ip, number);
    }

    /** The text of an address. */
    static String format(InetSocketAddress address) {
        final String ip = address.getAddress().getHostAddress();
        return (ip.indexOf(':') >= 0 ? "[" + ip + "]" : ip) + ":" + address.getPort();
    }
}
