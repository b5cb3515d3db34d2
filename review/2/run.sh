#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/dunlinladder.jar ] && [ -f review/build/Case2.class ] || {
    echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
}
exec java -Xmx128m -cp review/build Case2 review/2/record.txt
