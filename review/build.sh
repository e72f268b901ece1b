#!/bin/sh
# Builds the stand-ins of the scripts. Run it in the repository root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
stand_ins=platform/src/test/java/org/agatehatch/platform
javac -nowarn -d "$out" -cp "target/agatehatch-edge.jar:target/lib/*" \
    "$stand_ins/StoreStandIn.java" "$stand_ins/StoreState.java" \
    review/standins/org/agatehatch/platform/*.java
