package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;

/**
 * Reads a configuration again at SIGHUP and puts in force what a running node can take: the address
 * of discovery, the times of connections, the request classes and the dispatcher's settings. A
 * configuration that cannot be used changes nothing. Owns the classes since the start and the
 * settings that the dispatcher was notified of last; both are used on the event loop only.
 */
final class ConfigReloader {

    /** Missing keys that are named in the log. */
    private static final int MAX_LOGGED_KEYS = 5;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final NodeConfig initialConfig;
    private final Executor loop;
    private final Target target;
    private ClassTable classes;
    private DispatchSettings settings;

    /** What a reload changes in a running node. Called on the event loop. */
    interface Target {

        /** Whether the classes of the start are kept: something is counted by their numbers. */
        boolean requiresInitialClasses();

        /** Watches the endpoint list at this address from now on. */
        void setDiscoveryAddress(InetSocketAddress address);

        /** Applies the times of new connections to workers. */
        void applyConnectionTimes(NodeConfig next);

        /** Applies classes and settings, of requests that are taken from now on. */
        void applySettings(ClassTable classes, DispatchSettings settings);
    }

    /**
     * Reloads a node that was started with a configuration.
     *
     * @param initialConfig the configuration of the start
     * @param loop the event loop
     * @param target the node
     */
    ConfigReloader(NodeConfig initialConfig, Executor loop, Target target) {
        this.initialConfig = initialConfig;
        this.loop = loop;
        this.target = target;
        this.classes = ClassTable.of(initialConfig.classes(), initialConfig.settings().classes());
        this.settings = initialConfig.settings();
    }

    /**
     * Reads a configuration, on the caller's thread as that may take a while, and hands it to the
     * event loop. One that is cut, broken or unusable is logged and changes nothing.
     *
     * @param source reads the configuration
     */
    synchronized void reload(Callable<NodeConfig> source) {
        try {
            final NodeConfig next = source.call();
            requireComplete(next);
            loop.execute(() -> apply(next));
        } catch (Exception e) {
            LogEvent.of(
                            "reload_refused",
                            "not reloaded, the old configuration stays: " + e.getMessage())
                    .with("detail", e.getMessage())
                    .log(LOG, Level.ERROR);
        }
    }

    private void requireComplete(NodeConfig next) throws ConfigException {
        final List<String> missing = initialConfig.missingIn(next);
        if (!missing.isEmpty()) {
            throw new ConfigException(
                    "the file lacks what the first one had: "
                            + String.join(
                                    ", ",
                                    missing.subList(0, Math.min(MAX_LOGGED_KEYS, missing.size())))
                            + (missing.size() > MAX_LOGGED_KEYS ? ", ..." : ""));
        }
    }

    private void apply(NodeConfig next) {
        if (initialConfig.discovery() != null && next.discovery() != null) {
            target.setDiscoveryAddress(next.discovery());
        }
        // Logged, so that nobody takes a change to be in force that only a restart puts in force.
        final List<String> pendingRestart = new ArrayList<>(initialConfig.changesRequiringRestart(next));
        final String changes = applySettings(next, pendingRestart);
        LogEvent.of(
                        "reloaded",
                        "reloaded: "
                                + describeDiscovery(next)
                                + changes
                                + (pendingRestart.isEmpty()
                                        ? ""
                                        : "; changed, but in force from the next start only: "
                                                + String.join(", ", pendingRestart)))
                .with("held", String.join(",", pendingRestart))
                .with("classes", String.join(",", classes.live().keySet()))
                .log(LOG, Level.INFO);
    }

    private String describeDiscovery(NodeConfig next) {
        if (initialConfig.discovery() == null) {
            return "the list of workers is fixed";
        }
        return "discovery is at "
                + Addresses.format(next.discovery() == null ? initialConfig.discovery() : next.discovery());
    }

    /**
     * Applies the connection times, classes and settings of a new configuration where a running
     * node can: requests in flight keep their class, and new ones are read by the new classes. The
     * connection times apply even where the classes and settings wait for a restart.
     *
     * @param next the new configuration
     * @param pendingRestart the parts that wait for a restart; what cannot be applied is added
     * @return what changed, for the log
     */
    private String applySettings(NodeConfig next, List<String> pendingRestart) {
        target.applyConnectionTimes(next);
        if (zonesOrKindsDiffer(next)) {
            pendingRestart.add("zones and kinds");
            return "";
        }
        final ClassTable updated;
        try {
            updated = classes.updatedWith(next.classes(), next.settings().classes());
        } catch (IllegalArgumentException e) {
            pendingRestart.add("classes (" + e.getMessage() + ")");
            return "";
        }
        final boolean classesChange = !updated.isSameAs(classes);
        if (classesChange && target.requiresInitialClasses()) {
            pendingRestart.add("classes");
            return "";
        }
        final DispatchSettings previousSettings = settings;
        final DispatchSettings updatedSettings = updated.settingsFor(next.settings(), previousSettings);
        if ((!classesChange && updatedSettings.equals(previousSettings)) || !updatedSettings.canReplace(previousSettings)) {
            return "";
        }
        final String classChanges = updated.changesFrom(classes);
        classes = updated;
        settings = updatedSettings;
        target.applySettings(updated, updatedSettings);
        return describe(classChanges, previousSettings, updatedSettings);
    }

    private boolean zonesOrKindsDiffer(NodeConfig next) {
        final DispatchSettings updatedSettings = next.settings();
        return updatedSettings.zone() != settings.zone()
                || updatedSettings.zones() != settings.zones()
                || updatedSettings.kinds() != settings.kinds()
                || !next.zones().equals(initialConfig.zones())
                || !next.kinds().equals(initialConfig.kinds());
    }

    private static String describe(
            String classChanges, DispatchSettings previousSettings, DispatchSettings newSettings) {
        return "; settings in force"
                + (classChanges.isEmpty() ? "" : ", classes " + classChanges)
                + (newSettings.limits().equals(previousSettings.limits())
                        ? ""
                        : ", attempts at most " + newSettings.limits().maxAttempts());
    }
}
