#!/usr/bin/env bash
# Runs two entries, four agents and stand-ins for the platform on loopback, with the
# settings in examples/demo. Shows what callers, a trainer and an operator see while an
# agent is killed and an entry is stopped, then checks these results against the
# stand-ins' own records. Needs "make build".
set -u -o pipefail
cd "$(dirname "$0")/.."

dir=run/demo
entries=http://127.0.0.1:17181,http://127.0.0.1:17182
model=demo-lm
rm -rf "$dir"
. hack/procs.sh
trap stop_all EXIT

# say WHO TEXT… prints a line with the actor's name in the first column.
say() { printf '%-9s %s\n' "$1" "${*:2}"; }
fail() {
  echo "demo: FAILED $* (logs in $dir/logs)"
  exit 1
}
# run WHO COMMAND… prints each line of a command's output with WHO in the first column and
# returns the command's exit status.
run() {
  local who=$1
  shift
  "$@" >"$dir/out.txt" 2>&1
  local status=$?
  sed "s/^/$(printf '%-10s' "$who")/" "$dir/out.txt"
  return $status
}
# commit FILE PROCESSES commits a manifest and waits until it is in force on the processes.
commit() {
  $ctl commit --log http://127.0.0.1:17001 --public "$public" --key "$dir/key" --wait --timeout 20s \
    --processes "$2" "$1" >"$dir/out.txt" 2>&1
  local status=$?
  say operator "commits $1: $(grep -E '^(outcome|revision|in force)' "$dir/out.txt" | tr -s ' \n' ' ')"
  [ $status = 0 ] || fail "the commit is not in force: $(cat "$dir/out.txt")"
}
load=bin/dandelion-load
ctl=bin/dandelionctl
standin=bin/dandelion-standin

taken=
for port in 17001 17002 17003 17101 17102 17111 17112 17113 17114 17181 17182 17191 17192 17193 17194 \
  17201 17202 17203 17204; do
  (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && taken="$taken $port"
done
[ -z "$taken" ] || fail "ports on 127.0.0.1 are taken:$taken; is another demo still running?"

# Start the platform (log, weight store, VM list), then the backend servers.
start log $standin log --listen 127.0.0.1:17001
start weights $standin weights --listen 127.0.0.1:17002 --initial $model:1:1000000
start vms $standin vms --listen 127.0.0.1:17003 --lag 500ms
engine="--model $model --slots 16 --mean-tokens 200 --sigma 0.6 --time-scale 0.2"
start engine-1-server $standin engine --listen 127.0.0.1:17201 --name engine-1 $engine
start engine-2-server $standin engine --listen 127.0.0.1:17202 --name engine-2 $engine
start orders-1-server $standin service --listen 127.0.0.1:17203 --name orders-1
start scorer-1-server $standin scorer --listen 127.0.0.1:17204

# Start the agents and entries.
public=$($ctl keygen --id demo "$dir/key") || fail "keygen failed"
export DANDELION_KEYS_MANIFEST_PUBLIC=$public
for name in engine-1 engine-2 orders-1 scorer-1; do
  start $name bin/dandelion-agent --config examples/demo/$name.ini
done
start entry-1 bin/dandelion-entry --config examples/demo/entry-1.ini
start entry-2 bin/dandelion-entry --config examples/demo/entry-2.ini
$load wait http://127.0.0.1:1700{1,2,3}/livez http://127.0.0.1:1720{1,2,3,4}/livez || fail "the stand-ins don't start"
$load register --vms http://127.0.0.1:17003 examples/demo/*.ini >/dev/null || fail "cannot register the VMs"

processes=127.0.0.1:17181,127.0.0.1:17182,127.0.0.1:17191,127.0.0.1:17192,127.0.0.1:17193,127.0.0.1:17194
# The demo's engines run five times as fast as real ones (--time-scale 0.2), so the grace
# period before a weight swap is shortened too.
sed 's/^\[model .*/&\nswap_grace = 500ms/' examples/manifests/demo.ini >"$dir/first.ini"
$ctl check "$dir/first.ini" >/dev/null || fail "the manifest is invalid"
commit "$dir/first.ini" $processes
$load wait http://127.0.0.1:1718{1,2}/readyz http://127.0.0.1:1719{1,2,3,4}/readyz || fail "not all processes became ready"

caller="--entries $entries --token demo-caller-token"
run caller $load call $caller --service orders --path /orders/7 || fail "the read failed"
run caller $load call $caller --service orders --method POST --path /orders --body 40 --keyed 1 || fail "the write failed"
run caller $load complete $caller --model $model --max-tokens 12 || fail "the completion failed"

say trainer "runs 5 steps, with new weights after each, while callers keep calling"
$standin trainer --entries $entries --token demo-trainer-token --model $model --weights http://127.0.0.1:17002 \
  --steps 5 --groups 12 --samples 4 --train-time 300ms --publish-every 1 --out "$dir/trainer.jsonl" \
  >"$dir/logs/trainer.log" 2>&1 &
trainer=$!
started+=("$trainer")
$load call $caller --service orders --path /orders --rate 40 --for 6s --out "$dir/reads.json" >"$dir/logs/reads.log" 2>&1 &
reads=$!
$load call $caller --service orders --method POST --path /orders --body 60 --keyed 0.5 --rate 30 --for 6s --seed 2 \
  --out "$dir/writes.json" >"$dir/logs/writes.log" 2>&1 &
writes=$!
$load complete $caller --model $model --max-tokens 40 --rate 5 --for 6s --seed 3 \
  --out "$dir/completions.json" >"$dir/logs/completions.log" 2>&1 &
completions=$!
started+=("$reads" "$writes" "$completions")

sleep 1.5 # until a step is likely to run; the result does not depend on the exact time
{ kill -KILL "$(pid_of engine-1)"; wait "$(pid_of engine-1)"; } 2>/dev/null
say fault "SIGKILL to the agent engine-1, in the middle of a step"
sleep 1.5
kill -TERM "$(pid_of entry-2)"
say fault "SIGTERM to entry-2, with requests in flight"
wait "$(pid_of entry-2)"
entry_status=$?
say entry-2 "drained and exited with $entry_status"
[ "$entry_status" = 0 ] || fail "entry-2 exited with $entry_status"

sed 's/^\[trainer .*/&\nhedge_percent = 8/' "$dir/first.ini" >"$dir/second.ini"
remaining=127.0.0.1:17181,127.0.0.1:17192,127.0.0.1:17193,127.0.0.1:17194
commit "$dir/second.ini" $remaining

wait "$reads" "$writes" "$completions"
wait "$trainer" || fail "the trainer failed: $(tail -n1 "$dir/logs/trainer.log")"

say judge "compares all results with the stand-ins' own records"
versions=$(($(grep -c '"publish"' "$dir/trainer.jsonl") - 2)) # oldest weights allowed in the last step: staleness_bound is 2
run judge $load judge --calls "$dir/reads.json,$dir/writes.json" --completions "$dir/completions.json" \
  --trainer "$dir/trainer.jsonl" --services http://127.0.0.1:17203 --mean-tokens 200 --sigma 0.6 --version "$versions" ||
  fail "a guarantee was violated"
$ctl status --log http://127.0.0.1:17001 --public "$public" --processes $remaining >"$dir/status.txt" || fail "status failed"
say operator "sees revision 2 on: $(awk '$4 == 2 {printf "%s ", $1}' "$dir/status.txt")"
echo "demo: ok, every sample and answer whole and true, every write at most once, after ${SECONDS}s"
