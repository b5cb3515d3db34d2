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

/** Checks that dependencies between packages go one way and that the packages that make decisions do no I/O. */
class ArchitectureTest {

    private static JavaClasses classes;
    private static JavaClasses classesAndTests;

    @BeforeAll
    static void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("dunlinladder");
        classesAndTests = new ClassFileImporter().importPackages("dunlinladder");
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
    void packageDependenciesGoOneWay(String from, String to) {
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
    void decisionPackagesDoNoInputOrOutput(String packageName) {
        noClasses()
                .that()
                .resideInAPackage("dunlinladder." + packageName + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "org.apache.hc..")
                .check(classes);
    }

    @Test
    void coreDoesNotDependOnAWireFormat() {
        noClasses()
                .that()
                .resideInAnyPackage("dunlinladder.core..", "dunlinladder.routing..", "dunlinladder.membership..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("com.fasterxml.jackson..")
                .check(classes);
    }

    /** Durations are measured by the monotonic clock, and only one class reads the wall clock. */
    @Test
    void onlyTheWallClockClassReadsTheWallClock() {
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

    /** These methods wait until a time of the wall clock, or set timeouts that HttpCore measures by it. */
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
                        "waits by the wall clock through " + method,
                        call -> call.getName().equals(method)
                                && !call.getTargetOwner().getPackageName().startsWith("dunlinladder")
                                && !call.getTargetOwner().getSimpleName().equals("TimeValue")))
                .check(classes);
    }

    /**
     * The results of these methods of {@link Math} may differ in the last bit between processor architectures; those of
     * {@link StrictMath} may not. Decisions, seeded draws and the tests' simulated fleets use the latter, so that the
     * same input leads to the same decisions on each machine.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "acos", "asin", "atan", "atan2", "cbrt", "cos", "cosh", "exp", "expm1", "hypot", "log", "log10",
                "log1p", "pow", "sin", "sinh", "tan", "tanh"
            })
    void nothingCallsMathMethodsThatDifferBetweenArchitectures(String method) {
        noClasses()
                .should()
                .accessTargetWhere(DescribedPredicate.describe(
                        "is Math." + method,
                        access -> access.getTargetOwner().isEquivalentTo(Math.class)
                                && access.getName().equals(method)))
                .check(classesAndTests);
    }

    /**
     * Types of the policy that the gateway and the simulator's adapter use: its interface with the events and actions,
     * its implementation, its settings and the blocking facade.
     */
    private static final String[] VISIBLE_POLICY_TYPES = {
        "BlockingRequestRouter", "Router", "RoutingAction", "RoutingEvent", "RoutingPolicy", "RoutingSettings"
    };

    @Test
    void otherPackagesUseOnlyTheVisiblePolicyTypes() {
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
    void packageDependenciesHaveNoCycles(String slices) {
        slices().matching(slices).should().beFreeOfCycles().check(classes);
    }
}
