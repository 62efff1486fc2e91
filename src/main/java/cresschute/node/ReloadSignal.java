package cresschute.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, heard through the JVM's own signal handling. That is reached by reflection, for javac
 * warns of its direct use in a way that cannot be suppressed, and here a warning ends the build.
 */
public final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Calls this, on a thread of the JVM, whenever the signal comes; by its default action it would
     * end the process. A process that was started with the signal ignored, as {@code nohup} starts
     * it, never gets it: the JVM leaves that as it is.
     *
     * @return whether the signal is received; false where the process ignores it
     */
    public static boolean onEach(Runnable call) {
        try {
            final Class<?> signal = Class.forName("sun.misc.Signal");
            final Class<?> handler = Class.forName("sun.misc.SignalHandler");
            final InvocationHandler invocation =
                    (proxy, method, args) -> {
                        call.run();
                        return null;
                    };
            final Object previous =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    Proxy.newProxyInstance(
                                            ReloadSignal.class.getClassLoader(),
                                            new Class<?>[] {handler},
                                            invocation));
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not pass on SIGHUP", e);
        }
    }
}
