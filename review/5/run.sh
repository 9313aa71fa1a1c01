#!/usr/bin/env bash
# Runs the case on loopback; writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0: without the disruption. Needs the build of the deploy file and build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
CASE_DIR=$(mktemp -d) || exit 2
export CASE_DIR CASE_RECORD="$here/record.txt"
stop() {
  [ -e "$CASE_DIR/pids" ] && while read -r pid; do
    [ "$(ps -o args= -p "$pid" 2>/dev/null | grep -c "$CASE_DIR")" -gt 0 ] && kill -KILL "$pid" 2>/dev/null
  done <"$CASE_DIR/pids"
  rm -rf "$CASE_DIR"
}
trap stop EXIT
trap 'exit 2' INT TERM
timeout 110 "target/review/case-$(basename "$here")"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
