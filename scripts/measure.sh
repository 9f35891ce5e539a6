#!/usr/bin/env bash
# Prints one line for each figure: distribution and request decisions on clocks of their own, then
# real processes: latency that the path adds, and what a node costs at rest.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
build/bench_convergence
build/bench_policy
source scripts/mesh.sh

# A value of a `key=value` line. $1: line; $2: key.
value() { grep -oE "(^| )$2=[^ ]+" <<<"$1" | cut -d= -f2; }

# Processor time of a process in ms. $1: id.
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"; }

start_log
start_node west-a-1 west west-a
mesh_seeds="\"$(address west-a-1 control)\""
start_node west-b-1 west west-b
start_server west-b-1 catalogue --ms 0
cat >"$mesh_dir/one.json" <<'JSON'
{ "services": { "catalogue": { "timeout_ms": 2000 } },
  "routes": { "lookup": { "path_prefix": "/", "targets": [ { "service": "catalogue" } ] } } }
JSON
await_status west-b-1 '.fleet.nodes == 2'
build/shallotfield publish --node "$(address west-a-1 operators)" --file "$mesh_dir/one.json" >/dev/null
await_line west-a-1 'event=member_changed member=west-b-1 .*server=ready'
direct=$(address west-b-1-server server)
meshed=$(address west-a-1 callers)
for round in 1 2 3; do
  one=$(build/standin_caller --to "$direct" --path /x --seconds 3)
  two=$(build/standin_caller --to "$meshed" --path /x --seconds 3)
  for percent in p50 p99; do
    a=$(value "$one" "${percent}_ms")
    b=$(value "$two" "${percent}_ms")
    echo "measure=added_latency_$percent case=two_hops round=$round baseline=$a chosen=$b" \
      "added=$(jq -n "$b - $a") ratio=$(jq -n "$b / $a") unit=ms"
  done
done
one=$(build/standin_caller --to "$meshed" --path /x --seconds 4 --connections 16)
echo "measure=rate_through_one_edge case=16_callers baseline=0 chosen=$(jq -n "$(value "$one" ok) / 4") ratio=0 unit=calls/s"

for total in 4 16; do
  pids=()
  for ((i = 2; i <= total; ++i)); do
    region=$([[ $((i % 2)) == 0 ]] && echo east || echo west)
    [[ -e "$mesh_dir/n$i.json" ]] || { start_node "n$i" "$region" "$region-a"; echo "$started_pid" >"$mesh_dir/n$i.pid"; }
    pids+=("$(cat "$mesh_dir/n$i.pid")")
  done
  await_status "n$total" ".fleet.nodes == $((total + 1))" 30
  sleep 3
  before=0
  for pid in "${pids[@]}"; do before=$(jq -n "$before + $(cpu_ms "$pid")"); done
  sleep 10
  after=0
  memory=0
  for pid in "${pids[@]}"; do
    after=$(jq -n "$after + $(cpu_ms "$pid")")
    memory=$((memory + $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")))
  done
  echo "measure=node_cpu_at_rest case=processes nodes=$((total + 1)) baseline=0" \
    "chosen=$(jq -n "($after - $before) / 10 / ${#pids[@]}") ratio=0 unit=ms/s"
  echo "measure=node_memory_at_rest case=processes nodes=$((total + 1)) baseline=0" \
    "chosen=$((memory / ${#pids[@]} / 1024)) ratio=0 unit=MB"
done
