#!/bin/sh
# Runs the jar that follows this script in the same file.
export MALLOC_ARENA_MAX=${MALLOC_ARENA_MAX:-2}
exec java \
  -Xms16m -Xmx${ENDIVESTEP_HEAP:-64m} -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=${ENDIVESTEP_TIER:-1} \
  -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=72m -XX:MaxDirectMemorySize=32m \
  -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError -Xshare:auto \
  -Dio.netty.transport.noNative=true -Dio.grpc.netty.shaded.io.netty.transport.noNative=true \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.noUnsafe=false \
  -jar "$0" "$@"
exit 1
