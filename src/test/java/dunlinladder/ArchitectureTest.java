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
}
