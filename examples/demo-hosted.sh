#!/usr/bin/env bash
# Runs the system of the prepared machines on loopback: stand-ins for the platform, two
# gateways and an agent beside each of three engines. A trainer requests steps while the
# owner of a step is killed and restarted. Needs "make build".
set -u -o pipefail
cd "$(dirname "$0")/.."

dir=run/demo-hosted
rm -rf "$dir"
. hack/procs.sh
trap stop_all EXIT
# say WHO TEXT… prints a line with the actor's name in the first column.
say() { printf '%-9s %s\n' "$1" "${*:2}"; }

start platform bin/dandelion-standin hosted --dir "$dir/settings" --steps 4
platform=${started[0]}
for _ in $(seq 100); do [ -e "$dir/settings/ready" ] && break; sleep 0.1; done
for i in 0 1; do start "gateway-$i" bin/dandelion-gateway --config "$dir/settings/gateway-$i.ini"; done
for i in 0 1 2; do start "orders-$i" bin/dandelion-orders --config "$dir/settings/orders-$i.ini"; done

sleep 1.2 # until a step is likely to run; the result does not depend on the exact time
owner=$(grep -l 'Owning a batch job' "$dir"/logs/gateway-*.log | head -n 1)
owner=$(basename "${owner:-gateway-0.log}" .log)
{ kill -KILL "$(pid_of "$owner")"; wait "$(pid_of "$owner")"; } 2>/dev/null
say fault "SIGKILL to $owner, which owns a step"
sleep 2.5
start "$owner" bin/dandelion-gateway --config "$dir/settings/$owner.ini"
say restart "$owner"

wait "$platform" || { echo "demo-hosted: FAILED (logs in $dir/logs)"; cat "$dir/logs/platform.log"; exit 1; }
sed 's/^/trainer   /' "$dir/logs/platform.log"
say log "$(cat "$dir"/logs/gateway-*.log | grep -c 'Claiming a batch job') claims of an unresponsive owner's jobs"
echo "demo-hosted: ok, every sample whole, none lost, after ${SECONDS}s"
