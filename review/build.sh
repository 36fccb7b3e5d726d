#!/bin/sh
# Builds the stand-ins of the cases with the compiler of the Java 17 that builds the project; nothing is fetched.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -d target/classes standins/src/review/*.java
