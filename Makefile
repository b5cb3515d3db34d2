# build: builds the program; test: runs unit and integration tests; lint: checks format, style and the faults that the
# compiler can find; format: formats the sources; run: starts one gateway with the configuration file that RELAY_CONFIG
# names.
.PHONY: build faults fault-soak soak-mutants silence-table test lint format run docs demo conformance bench soak regress site-files clean

build:
	mvn -q -DskipTests package
	sh deploy/archive.sh

# Builds the library with which tests inject machine faults; needs a C compiler.
faults: target/libfaults.so

target/libfaults.so: src/test/c/faults.c
	@command -v cc > /dev/null || { echo "no C compiler found: the tests need cc to build src/test/c/faults.c"; exit 1; }
	@mkdir -p target
	cc -std=gnu11 -O2 -Wall -Wextra -Werror -shared -fPIC -o $@ $< -ldl

# Runs all tests. The tests that KNOWN-RED.txt lists run separately and must fail.
test: faults
	.ci/tests

lint:
	mvn -q -B -ntp -Plint test-compile spotless:check checkstyle:check

# Formats the sources; lint and test fail if a source file is not formatted.
format:
	mvn -q spotless:apply

run: build
	exec java -jar target/dunlinladder.jar serve

# Writes the reference pages of fields and errors, generated from the tables that the program itself uses.
docs: build
	java -cp target/dunlinladder.jar dunlinladder.lifecycle.ReferenceDocs docs

# Demonstrates the program: stub engines of two generations, the real gateway, clients of three API formats.
demo: build
	java -cp target/dunlinladder.jar dunlinladder.demo.Demo

# Runs a fleet of 10 to 40 processes under overlapping faults, once for each of SEEDS seeds, starting with SEED. The
# rules are checked on the observations of clients, links, engines and gateway logs. A seed that breaks a rule leaves
# its record in target/soak, and the target fails. GATEWAY names a folder with the gateway classes of another build.
SEED ?= 1
SEEDS ?= 20
fault-soak: faults
	mvn -q -B -ntp test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
	java -cp target/classes:target/test-classes:$$(cat target/test-classpath.txt) dunlinladder.it.FaultSoak $(SEED) $(SEEDS) target/soak $(GATEWAY)

# Prints a table of how long KV caches are held when decode engines become silent or slow. GATEWAY names a folder with
# the gateway classes of another build.
GATEWAY ?=
silence-table: faults
	mvn -q -B -ntp test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
	java -cp target/classes:target/test-classes:$$(cat target/test-classpath.txt) dunlinladder.it.SilenceTable $(GATEWAY)

# Tests the soak itself: it must detect each copy of the program from which the code that enforces one rule is removed.
# MUTANT names one of them; without it all are run.
MUTANT ?=
soak-mutants: faults
	mvn -q -B -ntp test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
	java -cp target/classes:target/test-classes:$$(cat target/test-classpath.txt) dunlinladder.it.SoakMutants target/soak-mutants $(MUTANT)

# Replays recorded requests of all API formats against engines of every other format and compares field by field.
conformance:
	mvn -B -ntp test -Dtest=ConformanceTest

# Runs the benchmarks of the translation between API formats; writes the results to target/bench.csv.
bench:
	mvn -q -B -ntp -Pbench test-compile exec:exec

# Sends 5,000 mixed requests while the engines migrate to another generation.
soak:
	mvn -q -B -ntp test -Dtest=NewServersTest -Ddunlinladder.requests=5000

# Runs the operators' regression days for one of three sites, then the twelve days of the panel "brink" for that site.
# The number of first-parent commits selects the site in turn; SITE=sites/hobart-books, SITE=users/kigali-play or
# SITE=more/engines/sites/hobart-books selects it explicitly. The first two run in the simulator and on sockets; the
# third, the deployment of the serving engines, runs with a hundred gateways. KIT is the folder of the kit. A run uses
# the whole machine for some minutes.
KIT ?= ../given/kit
WHY ?= Regression before a landing.
TURN := $(shell echo $$(( $$(git rev-list --count --first-parent HEAD) % 3 + 1 )))
SITE ?= $(word $(TURN),sites/hobart-books users/kigali-play more/engines/sites/hobart-books)
MASS = $(KIT)/more/mass/bin/lbreal score $(KIT)/$(SITE).toml
regress:
	@[ -x $(KIT)/real/bin/lbreal ] || { echo "no bench found in $(KIT): set KIT to its folder; nothing was run"; exit 1; }
ifeq ($(SITE),more/engines/sites/hobart-books)
	$(MASS) --quick --why "$(WHY)"
else
	$(KIT)/bin/lbsim score $(KIT)/$(SITE).toml --quick --why "$(WHY)"
	$(KIT)/real/bin/lbreal score $(KIT)/$(SITE).toml --quick --why "$(WHY)"
endif
	$(MASS) --panel brink --why "$(WHY)"

# Copies the bench's own files to deploy/sites, because the bench reads them from the folder of the deployments.
site-files:
	@[ -d $(KIT)/sites ] || { echo "no bench found in $(KIT): set KIT to its folder"; exit 1; }
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

clean:
	mvn -q clean
