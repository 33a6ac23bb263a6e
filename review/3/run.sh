#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
COBALTFALL_ROOT=$(pwd) target/review/release/stale-order "$folder"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
