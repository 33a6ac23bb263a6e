#!/bin/sh
# Plays the case: review/7/claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
export ROOT
STANDIN="$ROOT/review/standin-2/target/release/standin-2"
[ -x "$STANDIN" ] || { echo "review/build-2.sh has not built $STANDIN"; exit 2; }
exec "$STANDIN" torn-event "$HERE/record.txt"
