package cresschute.control.socket;

import cresschute.control.ControlRequest;
import cresschute.control.files.PrivateFolder;
import cresschute.logs.LogEvent;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.flow.FlowControlHandler;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The Unix domain socket at which consoles connect. The file's mode is the permission: 0600 in a
 * folder of 0700. All of it happens on the node's loop, save {@link #listen}, which looks at files.
 */
public final class ControlServer {

    /** Sessions at a time. */
    public static final int MAX_SESSIONS = 16;

    /** Bytes that may wait for a console before it is told nothing more until it has read them. */
    static final int MAX_WAITING = 512 * 1024;

    private static final int LESS_WAITING = 64 * 1024;
    private static final Set<PosixFilePermission> OTHERS =
            EnumSet.of(
                    PosixFilePermission.GROUP_READ,
                    PosixFilePermission.GROUP_WRITE,
                    PosixFilePermission.GROUP_EXECUTE,
                    PosixFilePermission.OTHERS_READ,
                    PosixFilePermission.OTHERS_WRITE,
                    PosixFilePermission.OTHERS_EXECUTE);
    private static final Logger LOG = System.getLogger("cresschute.control");

    private final EventLoop loop;
    private final Path file;
    private final ControlHandler handler;
    private final Set<ControlSession> sessions = new LinkedHashSet<>();
    private Channel server;
    private long lastSession;

    /** A server that does not listen yet. */
    public ControlServer(EventLoop loop, Path file, ControlHandler handler) {
        this.loop = loop;
        this.file = file;
        this.handler = handler;
    }

    /** Listens; the error of one that cannot says why. Blocks, so not on the loop. */
    public void listen() throws IOException {
        final Path folder = file.toAbsolutePath().getParent();
        PrivateFolder.make(folder);
        final Set<PosixFilePermission> open = EnumSet.copyOf(OTHERS);
        open.retainAll(Files.getPosixFilePermissions(folder));
        if (!open.isEmpty()) {
            throw new IOException(
                    "the folder of the control socket, "
                            + folder
                            + ", is open to others; chmod 700 it or name another");
        }
        removeStale();
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerDomainSocketChannel.class)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LESS_WAITING, MAX_WAITING))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        open(channel);
                                    }
                                })
                        .bind(UnixDomainSocketAddress.of(file))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on the control socket "
                            + file
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        server = bound.channel();
        // Nobody else could come before this: the folder keeps them out.
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        LogEvent.of("control_listening", "consoles can connect at " + file)
                .with("file", file)
                .log(LOG, Level.INFO);
    }

    /** A killed node leaves its socket behind; one that answers is another node's. */
    private void removeStale() throws IOException {
        if (!Files.exists(file, LinkOption.NOFOLLOW_LINKS)) {
            return;
        }
        if (Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS) || Files.isDirectory(file)) {
            throw new IOException(
                    file
                            + " is there and is no socket; name another file for the control"
                            + " socket");
        }
        if (isAnswered()) {
            throw new IOException("another node listens on the control socket " + file);
        }
        Files.delete(file);
    }

    private boolean isAnswered() {
        try {
            SocketChannel.open(UnixDomainSocketAddress.of(file)).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void open(Channel channel) {
        final ControlSession session = new ControlSession(++lastSession, channel, handler);
        if (sessions.size() >= MAX_SESSIONS) {
            session.refuse("there are " + MAX_SESSIONS + " consoles already; close one first");
            return;
        }
        sessions.add(session);
        channel.closeFuture().addListener(closed -> sessions.remove(session));
        // The flow control guards the heap: one read brings many short requests, and without it
        // each of them
        // would be answered in full, however little of that is taken.
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(ControlRequest.MAX_LINE),
                        new FlowControlHandler(),
                        session);
    }

    /** Whether anybody follows what the board shows. */
    public boolean isFollowed() {
        return sessions.stream().anyMatch(ControlSession::followsRows);
    }

    /** Consoles that are connected. */
    public int sessions() {
        return sessions.size();
    }

    /** Tells each console what is new to it, as far as it reads; a few times a second. */
    public void tell(long nowUs) {
        for (final ControlSession session : new ArrayList<>(sessions)) {
            session.tell(nowUs);
        }
    }

    /** Ends all sessions and takes the socket away. On the loop. */
    public void close() {
        if (server != null) {
            server.close();
            new ArrayList<>(sessions).forEach(ControlSession::close);
            try {
                Files.deleteIfExists(file);
            } catch (IOException e) {
                // The next start finds that nobody listens there and removes it.
                LogEvent.of("control_file_left", "the control socket " + file + " was left behind")
                        .because(e)
                        .log(LOG, Level.WARNING);
            }
        }
    }
}
