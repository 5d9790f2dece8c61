#!/bin/sh
# Plays case 3. TROUBLE=0 plays it without the disruption. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] || { echo "run review/build.sh first"; exit 2; }
exec review/bin/case3 review/3
