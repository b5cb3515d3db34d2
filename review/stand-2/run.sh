#!/bin/sh
# run.sh CASE CLASS: plays one case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
root=$(pwd)
[ -f target/dunlinladder.jar ] && [ -d target/review-2 ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
java -Xmx512m -Droot="$root" -cp target/review-2 "$2" "review/$1/record.txt" &
pid=$!
trap 'kill $pid 2>/dev/null' INT TERM
wait $pid
code=$?
rm -rf "$CASE_TMP"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
