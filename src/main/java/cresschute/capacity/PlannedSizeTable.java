package cresschute.capacity;

/**
 * The size stated by the operators, with the project's interpretation of each figure and the
 * question to the operators that covers it.
 */
final class PlannedSizeTable {

    private PlannedSizeTable() {}

    /** The table as Markdown. */
    static String text(PlannedSize size) {
        final ControlLimits limits = ControlLimits.OPERATORS;
        return new MarkdownTable("what", "size", "reading", "question")
                .row("workers", Figures.number(size.workers()), "entries of the worker list", "C1")
                .row(
                        "accelerators",
                        Figures.number(size.accelerators()),
                        "slots of a kind of worker, among the workers' slots",
                        "C1")
                .row(
                        "jobs a day",
                        Figures.number(size.jobsPerDay()),
                        "of many tasks each: a task is a request",
                        "C2")
                .row(
                        "task starts a second at the peak",
                        Figures.number(size.startsPerSecond()),
                        "attempts over all dispatchers",
                        "C2")
                .row(
                        "tasks running",
                        Figures.number(size.running()),
                        "requests open at once over all dispatchers, so each for "
                                + Figures.number(size.meanOpenSeconds())
                                + " s in the mean",
                        "C2")
                .row(
                        "gangs of up to",
                        Figures.number(size.gangSize()),
                        "requests of one tenant in one instant, of worth only together; admitted"
                                + " one by one today",
                        "C3")
                .row(
                        "teams with quotas",
                        Figures.number(size.tenants()),
                        "tenants with a share",
                        "C4")
                .row(
                        "urgent work starts within",
                        Figures.number(size.urgentStartMs()) + " ms",
                        "the class of most value, until its worker's `started`",
                        "C5")
                .row(
                        "regions",
                        Figures.number(size.regions()),
                        "sets of zones; no part of the program knows them",
                        "C6")
                .row("zones", Figures.number(size.zones()), "zones of the list", "C6")
                .row(
                        "changes of configuration a day",
                        Figures.number(size.configurationChangesPerDay()),
                        "settings reloads, drains and bans, changes of the list",
                        "C7")
                .row(
                        "in force everywhere within",
                        Figures.number(size.configurationDelayMs()) + " ms",
                        "when the last dispatcher acts by it",
                        "C7")
                .row(
                        "processor time for control, a node",
                        Figures.number(limits.cpuPercent()) + " % of a core",
                        "twice: what all dispatchers cost one worker's machine; what a dispatcher"
                                + " spends on anything but requests",
                        "C8")
                .row(
                        "memory for control, a node",
                        Figures.number(limits.memoryMb()) + " MB",
                        "the same; all of a dispatcher's process is held against it",
                        "C8")
                .row(
                        "traffic for control, a node",
                        Figures.number(limits.bytesPerSecond()) + " bytes a second",
                        "the same; 4 KB are 4,000 bytes",
                        "C8")
                .row(
                        "machines set aside for control",
                        Figures.number(limits.machines()),
                        "they carry dispatchers and discovery; reckoned with a dispatcher on each",
                        "C9")
                .row(
                        "machines that fail on an ordinary day",
                        Figures.number(size.failuresPerDay()),
                        "of the workers', for the most part",
                        "C10")
                .row(
                        "machines restarted or replaced a day",
                        Figures.number(size.replacementsPerDay()),
                        "of the workers', for the most part",
                        "C10")
                .row(
                        "a rack or switch goes",
                        "every month or two",
                        "workers of one zone; the list has no racks",
                        "C10")
                .row("a zone goes", "a few times a year", "a seventh of the workers", "C10")
                .row(
                        "regions lose each other",
                        "several times a year, for minutes",
                        "dispatchers, workers and discovery of either side stay up",
                        "C6")
                .textOr("");
    }
}
