#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../target/classes/review/Main.class ] && [ -f ../../target/endivestep.jar ] || { echo "not built"; exit 2; }
java -Xmx512m -Droot=../.. -cp ../target/classes review.Main cold .
status=$?
tail -n 2 record.txt
case $status in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
