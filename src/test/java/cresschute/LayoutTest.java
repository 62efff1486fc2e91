package cresschute;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.DispatcherEvents;
import cresschute.node.NodeServer;
import org.junit.jupiter.api.Test;

/** Who may use whom: the doors between the packages, as the architecture page lists them. */
class LayoutTest {

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("cresschute");
    private static final String ALL = "cresschute..";

    /** Classes of these packages use nothing of the program's but what is in the others. */
    private static void mayDependOn(String[] packages, String... others) {
        final String[] all = new String[packages.length + others.length];
        System.arraycopy(packages, 0, all, 0, packages.length);
        System.arraycopy(others, 0, all, packages.length, others.length);
        final DescribedPredicate<JavaClass> notAllowed =
                JavaClass.Predicates.resideInAPackage(ALL)
                        .and(JavaClass.Predicates.resideOutsideOfPackages(all));
        noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat(notAllowed)
                .check(CLASSES);
    }

    private static String[] packages(String... packages) {
        return packages;
    }

    @Test
    void dispatchModuleUsesOnlyTheJdk() {
        noClasses()
                .that()
                .resideInAPackage("cresschute.dispatch")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages("cresschute.dispatch", "java..")
                .check(CLASSES);
    }

    /**
     * No other package decides: the test bed's baseline and its exchange beside a dispatcher are
     * the only other receivers of a dispatcher's events.
     */
    @Test
    void onlyDispatchPackageMakesDecisions() {
        noClasses()
                .that()
                .resideOutsideOfPackages("cresschute.dispatch", "cresschute.testbed..")
                .should()
                .implement(DispatcherEvents.class)
                .check(CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "cresschute.dispatch",
                        "cresschute.node",
                        "cresschute.simulator",
                        "cresschute.testbed..")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Dispatcher.class)
                .check(CLASSES);
    }

    @Test
    void packagesUseOnlyAllowedPackages() {
        mayDependOn(packages("cresschute.simulator.."), "cresschute.dispatch");
        mayDependOn(packages("cresschute.logs"));
        mayDependOn(packages("cresschute.logs.structured.."), "cresschute.logs");
        mayDependOn(packages("cresschute.settings.script.."));
        mayDependOn(
                packages("cresschute.settings"),
                "cresschute.dispatch",
                "cresschute.settings.script");
        mayDependOn(
                packages("cresschute.node", "cresschute.node.http"),
                "cresschute.dispatch",
                "cresschute.simulator",
                "cresschute.settings",
                "cresschute.logs",
                "cresschute.health",
                "cresschute.control..",
                "cresschute.flow",
                "cresschute.peers..");
        mayDependOn(packages("cresschute.peers"));
        mayDependOn(packages("cresschute.peers.socket"), "cresschute.peers", "cresschute.logs");
        mayDependOn(packages("cresschute.health"), "cresschute.dispatch");
        mayDependOn(packages("cresschute.flow"));
        mayDependOn(packages("cresschute.capacity"));
        mayDependOn(packages("cresschute.control"), "cresschute.dispatch");
        mayDependOn(
                packages("cresschute.control.socket", "cresschute.control.files"),
                "cresschute.control",
                "cresschute.logs");
        mayDependOn(packages("cresschute.console"), "cresschute.control");
        mayDependOn(
                packages("cresschute.testbed.."),
                "cresschute.dispatch",
                "cresschute.node",
                "cresschute.settings",
                "cresschute.logs",
                "cresschute.peers");
    }

    /**
     * The core has no protocol's types; the class that puts a node together names its HTTP parts.
     */
    @Test
    void coreDoesNotDependOnHttp() {
        noClasses()
                .that()
                .resideInAPackage("cresschute.node")
                .and()
                .doNotBelongToAnyOf(NodeServer.class)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cresschute.node.http", "io.netty.handler..")
                .check(CLASSES);
    }

    @Test
    void nothingDependsOnTheCommandLine() {
        noClasses()
                .that()
                .resideOutsideOfPackage("cresschute.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cresschute.cli..", "picocli..")
                .check(CLASSES);
    }

    @Test
    void onlyTheCommandLineDependsOnTheTestbed() {
        noClasses()
                .that()
                .resideOutsideOfPackages("cresschute.testbed..", "cresschute.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("cresschute.testbed..")
                .check(CLASSES);
    }

    /**
     * Pure packages: no sockets, files or threads. The settings read one file; the checker and
     * reports none.
     */
    @Test
    void pureClassesDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "cresschute.settings..",
                        "cresschute.control",
                        "cresschute.health",
                        "cresschute.flow",
                        "cresschute.peers",
                        "cresschute.capacity")
                .and()
                .doNotHaveSimpleName("SettingsFile")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io", "java.nio.file", "io.netty..")
                .check(CLASSES);
        noClasses()
                .that()
                .haveSimpleName("RuleChecker")
                .or()
                .haveSimpleName("RequestOutcomes")
                .and()
                .resideInAPackage("cresschute.testbed")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io", "java.nio..", "java.net", "io.netty..")
                .check(CLASSES);
    }

    /**
     * The page's figures need the JDK and a library of statistics, and the node needs neither of
     * them.
     */
    @Test
    void capacityUsesOnlyJdkAndStatistics() {
        noClasses()
                .that()
                .resideInAPackage("cresschute.capacity..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "cresschute.capacity..", "java..", "org.apache.commons.math3..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages("cresschute.capacity..", "cresschute.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cresschute.capacity..", "org.apache.commons.math3..")
                .check(CLASSES);
    }

    /** The screen's parts that decide what is drawn know neither the terminal nor the socket. */
    @Test
    void screenModelDoesNoInputOrOutput() {
        noClasses()
                .that()
                .haveSimpleName("ScreenView")
                .or()
                .haveSimpleName("ScreenState")
                .or()
                .haveSimpleName("SiteModel")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io", "java.nio..", "org.jline.terminal..")
                .check(CLASSES);
    }

    /** The structured log and its library are put in place by the command line alone. */
    @Test
    void onlyTheCommandLineUsesTheStructuredLog() {
        noClasses()
                .that()
                .resideOutsideOfPackages("cresschute.logs.structured..", "cresschute.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cresschute.logs.structured..", "ch.qos.logback..", "org.slf4j..")
                .check(CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("cresschute.(*)..").should().beFreeOfCycles().check(CLASSES);
    }
}
