#!/bin/sh
# Starts one gateway in a JVM that fits the memory of its configuration (limits.memory_mb there). The heap has
# its full size from the start and is touched then, so that the memory in use does not creep up by itself.
memory=$(tr -d ' \n\r\t' < "${RELAY_CONFIG:?names the configuration file}" \
    | sed -n 's/.*"memory_mb":\([0-9]\{1,6\}\).*/\1/p')
heap=$((${memory:-160} * 3 / 10))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 256 ] || heap=256
archive=
[ ! -f target/gateway.jsa ] || archive=-XX:SharedArchiveFile=target/gateway.jsa
export MALLOC_ARENA_MAX=2
exec java -XX:+UseSerialGC -Xms${heap}m -Xmx${heap}m -XX:+AlwaysPreTouch -Xss256k -XX:MaxMetaspaceSize=48m \
    -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=$((heap / 2))m -XX:TieredStopAtLevel=1 \
    -XX:-UsePerfData -Xshare:auto $archive \
    -jar target/dunlinladder.jar serve "$@"
