#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/dunlinladder.jar ] && [ -f target/review-2/review2/LeftClients.class ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
java -Xmx512m "-Droot=$(pwd)" -cp target/review-2 review2.LeftClients review/8/record.txt &
pid=$!
trap 'kill $pid 2>/dev/null' INT TERM HUP
wait $pid
code=$?
# After a signal the first wait ends before the driver has ended its gateways.
wait $pid 2>/dev/null
rm -rf "$CASE_TMP"
[ $code -le 1 ] || code=2
exit $code
