# build: the program; test: unit and integration tests; lint: format, style, faults the compiler can find; format: sources; run: one gateway from RELAY_CONFIG.
.PHONY: build faults fault-soak soak-mutants silence-table test lint format run docs demo conformance bench soak regress site-files clean

build:
	mvn -q -DskipTests package
	sh deploy/archive.sh

# The faults of the machine that tests bring about; needs a C compiler.
faults: target/libfaults.so

target/libfaults.so: src/test/c/faults.c
	@command -v cc > /dev/null || { echo "no C compiler: the tests need cc for src/test/c/faults.c"; exit 1; }
	@mkdir -p target
	cc -std=gnu11 -O2 -Wall -Wextra -Werror -shared -fPIC -o $@ $< -ldl

# All but the tests of KNOWN-RED.txt, which run apart and have to fail.
test: faults
	.ci/tests

lint:
	mvn -q -B -ntp -Plint test-compile spotless:check checkstyle:check

# Formats the sources; lint and test check that nothing is left to format.
format:
	mvn -q spotless:apply

run: build
	exec java -jar target/dunlinladder.jar serve

# Prints the tables of fields and errors that the program carries out.
docs: build
	java -cp target/dunlinladder.jar dunlinladder.lifecycle.ReferenceDocs docs

# Shows the program at work: stand-ins of two generations, the gateway, clients of three formats.
demo: build
	java -cp target/dunlinladder.jar dunlinladder.demo.Demo

# A fleet of 10 to 40 processes under faults that overlap, SEEDS times from SEED on; the rules are checked on what all
# sides saw. A seed that breaks one leaves its record in target/soak, and the target fails.
SEED ?= 1
SEEDS ?= 20
fault-soak: faults
	mvn -q -B -ntp test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
	java -cp target/classes:target/test-classes:$$(cat target/test-classpath.txt) dunlinladder.it.FaultSoak $(SEED) $(SEEDS) target/soak $(GATEWAY)

# KV caches held behind decode engines that fall silent, in a table; GATEWAY names another build's classes.
GATEWAY ?=
silence-table: faults
	mvn -q -B -ntp test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
	java -cp target/classes:target/test-classes:$$(cat target/test-classpath.txt) dunlinladder.it.SilenceTable $(GATEWAY)

# The soak tested itself: with the mend of a rule taken out of a copy of the program it has to find that.
soak-mutants: faults
	mvn -q -B -ntp test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
	java -cp target/classes:target/test-classes:$$(cat target/test-classpath.txt) dunlinladder.it.SoakMutants target/soak-mutants

# Recorded requests of all formats against engines of each other one, field by field.
conformance:
	mvn -B -ntp test -Dtest=ConformanceTest

# Measures translations; the figures go to target/bench.csv.
bench:
	mvn -q -B -ntp -Pbench test-compile exec:exec

# The mixed requests through a move, 5,000 of them.
soak:
	mvn -q -B -ntp test -Dtest=NewServersTest -Ddunlinladder.requests=5000

# The operators' regression days for the site whose turn it is (by the count of landings): the first two in the
# simulator and on sockets, the serving engines' deployment with a hundred gateways; then the twelve brink days of
# that site. KIT is the kit's folder; a play takes some minutes of the whole machine. SITE=sites/hobart-books,
# users/kigali-play or more/engines/sites/hobart-books picks one.
KIT ?= ../given/kit
WHY ?= Regression before a landing.
TURN := $(shell echo $$(( $$(git rev-list --count --first-parent HEAD) % 3 + 1 )))
SITE ?= $(word $(TURN),sites/hobart-books users/kigali-play more/engines/sites/hobart-books)
MASS = $(KIT)/more/mass/bin/lbreal score $(KIT)/$(SITE).toml
regress:
	@[ -x $(KIT)/real/bin/lbreal ] || { echo "no bench at $(KIT): name its folder with KIT=..., nothing was played"; exit 1; }
ifeq ($(SITE),more/engines/sites/hobart-books)
	$(MASS) --quick --why "$(WHY)"
else
	$(KIT)/bin/lbsim score $(KIT)/$(SITE).toml --quick --why "$(WHY)"
	$(KIT)/real/bin/lbreal score $(KIT)/$(SITE).toml --quick --why "$(WHY)"
endif
	$(MASS) --panel brink --why "$(WHY)"

# Lays the bench's own files beside the deployments of deploy/sites, which the bench reads with them.
site-files:
	@[ -d $(KIT)/sites ] || { echo "no bench at $(KIT): name its folder with KIT=..."; exit 1; }
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

clean:
	mvn -q clean
