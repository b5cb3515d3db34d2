#!/bin/sh
# Compiles the stand-ins and the cases into review/build. Needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -Xlint:all -Werror -d build $(find . -name "*.java")
