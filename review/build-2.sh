#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs only the JDK; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
