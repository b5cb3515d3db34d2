package dunlinladder;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.properties.HasName;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import dunlinladder.core.WallClock;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Packages point one way, and what decides does no I/O. */
class ArchitectureTest {

    private static JavaClasses classes;

    @BeforeAll
    static void read() {
        classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("dunlinladder");
    }

    @ParameterizedTest
    @CsvSource({
        "core, transport",
        "core, routing",
        "core, lifecycle",
        "core, membership",
        "core, apiformat",
        "membership, transport",
        "membership, routing",
        "membership, lifecycle",
        "membership, apiformat",
        "apiformat, transport",
        "apiformat, core",
        "apiformat, routing",
        "apiformat, lifecycle",
        "apiformat, membership",
        "routing, transport",
        "routing, lifecycle",
        "routing, apiformat",
        "routing, membership",
        "transport.platform, routing",
        "transport.chat, routing",
        "transport.engine, routing",
        "transport.discovery, routing",
        "transport, lifecycle",
        "migration, transport",
        "migration, routing",
        "migration, lifecycle",
        "apiformat, migration",
        "core, migration",
        "transport.engine, transport.chat",
        "transport.engine, transport.platform",
        "transport.discovery, transport.engine"
    })
    void packagesPointOneWay(String from, String to) {
        noClasses()
                .that()
                .resideInAPackage("dunlinladder." + from + "..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("dunlinladder." + to + "..")
                .check(classes);
    }

    @ParameterizedTest
    @CsvSource({"core", "routing", "membership", "apiformat", "migration"})
    void whatDecidesDoesNoInputOrOutput(String part) {
        noClasses()
                .that()
                .resideInAPackage("dunlinladder." + part + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "org.apache.hc..")
                .check(classes);
    }

    @Test
    void theCoreKnowsNoWireFormat() {
        noClasses()
                .that()
                .resideInAnyPackage("dunlinladder.core..", "dunlinladder.routing..", "dunlinladder.membership..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("com.fasterxml.jackson..")
                .check(classes);
    }

    /** Spans are counted by the monotonic clock: the wall clock is read in one place. */
    @Test
    void onlyTheWallClockReadsTheWallClock() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName(WallClock.class.getName())
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("java.time..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Date")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Timer")
                .check(classes);
    }

    /** Waits until a moment of the wall clock, and time-outs that HttpCore counts by it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "parkUntil",
                "awaitUntil",
                "updateExpiry",
                "closeExpired",
                "closeIdle",
                "setSocketTimeout",
                "ofMilliseconds",
                "ofSeconds"
            })
    void nothingWaitsByTheWallClock(String method) {
        noClasses()
                .should()
                .callMethodWhere(DescribedPredicate.describe(
                        "waits by the wall clock by " + method,
                        call -> call.getName().equals(method)
                                && !call.getTargetOwner().getPackageName().startsWith("dunlinladder")
                                && !call.getTargetOwner().getSimpleName().equals("TimeValue")))
                .check(classes);
    }

    /** What the gateway and the simulator's adapter see of the policy: its interface, its facade and its creation. */
    private static final String[] VISIBLE_POLICY_TYPES = {
        "BlockingRequestRouter", "Router", "RoutingAction", "RoutingEvent", "RoutingPolicy", "RoutingSettings"
    };

    @Test
    void nothingOutsideTheRoutingPackageSeesInsideThePolicy() {
        String visible = "dunlinladder\\.routing\\.(" + String.join("|", VISIBLE_POLICY_TYPES) + ")(\\$.*)?";
        noClasses()
                .that()
                .resideOutsideOfPackage("dunlinladder.routing..")
                .should()
                .dependOnClassesThat(resideInAPackage("dunlinladder.routing..")
                        .and(DescribedPredicate.not(HasName.Predicates.nameMatching(visible))))
                .check(classes);
    }

    @ParameterizedTest
    @ValueSource(strings = {"dunlinladder.(*)..", "dunlinladder.transport.(*).."})
    void noPackagesDependOnEachOtherInACycle(String slices) {
        slices().matching(slices).should().beFreeOfCycles().check(classes);
    }
}
