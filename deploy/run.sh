#!/bin/sh
# Starts one gateway in a JVM that fits the memory of its configuration (limits.memory_mb there). The heap has
# its full size from the start and is touched then, so that the memory in use does not creep up by itself.
# The shell's built-ins alone: where the gateway runs, no other program may be started beside it.
text=
while IFS= read -r line || [ -n "$line" ]; do
    text=$text$line
done < "${RELAY_CONFIG:?names the configuration file}"
# What stands between quotes, one piece after the other; the figure follows its key.
memory=
key=
set -f
IFS='"'
for piece in $text; do
    if [ "$key" = memory_mb ]; then
        piece=${piece#"${piece%%[0-9]*}"}
        memory=${piece%%[!0-9]*}
        break
    fi
    key=$piece
done
unset IFS
set +f
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
