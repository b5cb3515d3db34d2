#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/stand-2/*.java
