#!/bin/sh
# Starts one gateway in a JVM that is sized by limits.memory_mb of its configuration. The heap has its full size from
# the start, and all its pages are touched at startup, so that memory use does not grow gradually afterwards.
# Uses only shell built-ins, because the platform does not let the script start other programs.
configuration=
while IFS= read -r line || [ -n "$line" ]; do
    configuration=$configuration$line
done < "${RELAY_CONFIG:?must name the configuration file}"
# Splits the JSON text at the quotes; the number is in the piece after its key.
memory_mb=
key=
set -f
IFS='"'
for piece in $configuration; do
    if [ "$key" = memory_mb ]; then
        piece=${piece#"${piece%%[0-9]*}"}
        memory_mb=${piece%%[!0-9]*}
        break
    fi
    key=$piece
done
unset IFS
set +f
heap_mb=$((${memory_mb:-160} * 3 / 10))
[ "$heap_mb" -ge 16 ] || heap_mb=16
[ "$heap_mb" -le 256 ] || heap_mb=256
archive_option=
[ ! -f target/gateway.jsa ] || archive_option=-XX:SharedArchiveFile=target/gateway.jsa
export MALLOC_ARENA_MAX=2
exec java -XX:+UseSerialGC -Xms${heap_mb}m -Xmx${heap_mb}m -XX:+AlwaysPreTouch -Xss256k -XX:MaxMetaspaceSize=48m \
    -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=$((heap_mb / 2))m -XX:TieredStopAtLevel=1 \
    -XX:-UsePerfData -Xshare:auto $archive_option \
    -jar target/dunlinladder.jar serve "$@"
