package dunlinladder;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
        "core, wire",
        "core, decision",
        "core, lifecycle",
        "core, membership",
        "core, dialect",
        "membership, wire",
        "membership, decision",
        "membership, lifecycle",
        "membership, dialect",
        "dialect, wire",
        "dialect, core",
        "dialect, decision",
        "dialect, lifecycle",
        "dialect, membership",
        "decision, wire",
        "decision, lifecycle",
        "decision, dialect",
        "decision, membership",
        "wire.platform, decision",
        "wire.chat, decision",
        "wire.engine, decision",
        "wire.discovery, decision",
        "wire, lifecycle",
        "generation, wire",
        "generation, decision",
        "generation, lifecycle",
        "dialect, generation",
        "core, generation",
        "wire.engine, wire.chat",
        "wire.engine, wire.platform",
        "wire.discovery, wire.engine"
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
    @CsvSource({"core", "decision", "membership", "dialect", "generation"})
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
                .resideInAnyPackage("dunlinladder.core..", "dunlinladder.decision..", "dunlinladder.membership..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("com.fasterxml.jackson..")
                .check(classes);
    }
}
