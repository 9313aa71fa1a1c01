#!/usr/bin/env bash
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
program=$root/target/review/case-$(basename "$PWD")
[ -x "$program" ] || { echo "not built: run review/build.sh" >&2; exit 2; }
exec "$program" "$root" "$PWD/record.txt"
