#!/bin/sh
# Stores the classes that a gateway loads in an archive for class data sharing, which deploy/run.sh passes to the JVM.
# Without an archive, or with one that does not match the JVM, a gateway still starts, but takes longer. The build
# therefore continues with a message if no archive is created.
rm -f target/gateway.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/gateway.jsa \
    -Dorg.slf4j.simpleLogger.defaultLogLevel=error -cp target/dunlinladder.jar dunlinladder.lifecycle.JvmWarmup \
    > target/archive.log 2>&1
status=$?
if [ "$status" -ne 0 ] || [ ! -f target/gateway.jsa ]; then
    rm -f target/gateway.jsa
    echo "deploy/archive.sh: no class archive was created (exit status $status, see target/archive.log);" \
        "gateways start without it, but take longer" >&2
fi
