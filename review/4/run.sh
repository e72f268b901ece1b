#!/bin/sh
# TROUBLE=0 plays the same without the late order and the crash.
cd "$(dirname "$0")/../.."
TROUBLE="${TROUBLE:-1}" exec java -Xmx256m -cp "target/review:target/agatehatch-edge.jar:target/lib/*" \
    org.agatehatch.platform.LateOrder review/4
