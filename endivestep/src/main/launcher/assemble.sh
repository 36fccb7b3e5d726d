#!/bin/sh
# Concatenates the launcher and the jar ($1) into one executable file ($2).
set -e
cat "$(dirname "$0")/launcher.sh" "$1" > "$2"
chmod +x "$2"
