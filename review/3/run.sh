#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in review/rig release/arrowyard-sluice release/arrowyard-control; do
    [ -x "target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# All that is started is of one process group, which ends with this script, however that ends.
set -m
target/review/rig lines "$here" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
