#!/bin/sh
# Keeps the classes that a gateway needs in an archive which deploy/run.sh maps (class data sharing). Without it, or
# where it does not fit the JVM, the gateway starts all the same, only later: so the build goes on, and says so.
rm -f target/gateway.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/gateway.jsa \
    -Dorg.slf4j.simpleLogger.defaultLogLevel=error -cp target/dunlinladder.jar dunlinladder.lifecycle.JvmWarmup \
    > target/archive.log 2>&1
code=$?
if [ "$code" -ne 0 ] || [ ! -f target/gateway.jsa ]; then
    rm -f target/gateway.jsa
    echo "deploy/archive.sh: no archive of classes was made (exit $code, see target/archive.log);" \
        "gateways start without it, only later" >&2
fi
