package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;

/**
 * Reloads the configuration on SIGHUP and applies the parts that can change at run time: the
 * discovery address, connection timeouts, request classes and dispatcher settings. An invalid
 * configuration changes nothing. Owns the table of the classes in use and the settings last passed
 * to the dispatcher; both are used on the event loop only.
 */
final class ConfigReloader {

    /** How many missing keys the log line names at most. */
    private static final int MAX_LOGGED_KEYS = 5;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final NodeConfig initialConfig;
    private final Executor loop;
    private final Target target;
    private ClassTable classes;
    private DispatchSettings settings;

    /** The parts of a running node that a reload changes. Called on the event loop. */
    interface Target {

        /**
         * Whether the node must keep its initial classes, because some of its parts keep counts by
         * class number.
         */
        boolean requiresInitialClasses();

        /** The numbers of the classes that open or queued requests have. */
        Set<Integer> classesInUse();

        /** Switches the watch of the endpoint list to the discovery service at this address. */
        void setDiscoveryAddress(InetSocketAddress address);

        /** Applies timeouts to the connections that exist and to those made from now on. */
        void applyTimeouts(NodeTimeouts next);

        /** Applies classes and settings to requests that are accepted from now on. */
        void applySettings(ClassTable classes, DispatchSettings settings);
    }

    /**
     * Creates the reloader of a node.
     *
     * @param initialConfig the configuration that the node was started with
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
     * Reads a configuration and applies it on the event loop. Reads on the caller's thread, because
     * reading may block. A truncated or invalid configuration is logged and changes nothing.
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
                            "not reloaded, the current configuration stays in force: "
                                    + e.getMessage())
                    .with("detail", e.getMessage())
                    .log(LOG, Level.ERROR);
        }
    }

    private void requireComplete(NodeConfig next) throws ConfigException {
        final List<String> missing = initialConfig.missingIn(next);
        if (!missing.isEmpty()) {
            throw new ConfigException(
                    "the file lacks keys that the initial file had: "
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
        // Log the changes that need a restart, so that an operator does not assume they are in
        // force.
        final List<String> pendingRestart =
                new ArrayList<>(initialConfig.changesRequiringRestart(next));
        final String changes = applySettings(next, pendingRestart);
        LogEvent.of(
                        "reloaded",
                        "reloaded: "
                                + describeDiscovery(next)
                                + changes
                                + (pendingRestart.isEmpty()
                                        ? ""
                                        : "; changed, but applied only after a restart: "
                                                + String.join(", ", pendingRestart)))
                .with("held", String.join(",", pendingRestart))
                .with("classes", String.join(",", classes.live().keySet()))
                .log(LOG, Level.INFO);
    }

    private String describeDiscovery(NodeConfig next) {
        if (initialConfig.discovery() == null) {
            return "the worker list is fixed";
        }
        return "discovery is at "
                + Addresses.format(
                        next.discovery() == null ? initialConfig.discovery() : next.discovery());
    }

    /**
     * Applies the timeouts, classes and settings of a new configuration as far as a running node
     * can change them. Open requests keep their class; new requests are parsed with the new
     * classes. The timeouts apply even if the classes and settings need a restart.
     *
     * @param next the new configuration
     * @param pendingRestart the parts that need a restart; this method adds the parts that it
     *     cannot apply
     * @return a description of the applied changes for the log line; empty if there is none
     */
    private String applySettings(NodeConfig next, List<String> pendingRestart) {
        target.applyTimeouts(next.timeouts());
        if (zonesOrKindsDiffer(next)) {
            pendingRestart.add("zones and kinds");
            return "";
        }
        final ClassTable updated;
        try {
            updated =
                    classes.updatedWith(
                            next.classes(), next.settings().classes(), target.classesInUse());
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
        final DispatchSettings updatedSettings =
                updated.settingsFor(next.settings(), previousSettings);
        if ((!classesChange && updatedSettings.equals(previousSettings))
                || !updatedSettings.canReplace(previousSettings, updated.changes())) {
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
        return "; settings applied"
                + (classChanges.isEmpty() ? "" : ", classes " + classChanges)
                + (newSettings.limits().equals(previousSettings.limits())
                        ? ""
                        : ", maximum attempts " + newSettings.limits().maxAttempts());
    }
}
