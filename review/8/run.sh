#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/endivestep.jar ] && [ -f target/review-2/KilledPeer.class ] || exit 2
timeout 110 java -cp target/review-2 KilledPeer review/8/record.txt
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
