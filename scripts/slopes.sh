#!/usr/bin/env bash
# Measures the idle and per-request resource use of nodes in cells of 4, 8, 16 and 32 nodes, and prints the table for
# docs/CAPACITY.md. Takes about two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
. scripts/deployment.sh
trap stop_all EXIT
idle_seconds=10
load_requests=300

# metric_sum NAME LABEL: prints the sum of a metric with a label over all nodes.
metric_sum() {
  local i
  for i in $(seq 1 "$nodes"); do curl -s "$(node_url "$i")/metrics"; done | awk -v name="$1" -v label="$2" 'index($0, name "{") == 1 && index($0, label) {sum += $2} END {printf "%.0f", sum}'
}

# Prints the processor time of all nodes in milliseconds.
cpu_ms() {
  local i ticks=0 fields
  for i in $(seq 1 "$nodes"); do
    read -r -a fields <"/proc/${pids[node-$i]}/stat"
    ticks=$((ticks + fields[13] + fields[14]))
  done
  echo $((ticks * 1000 / $(getconf CLK_TCK)))
}

# Prints the largest resident memory of a node in MB.
memory_mb() {
  local i
  for i in $(seq 1 "$nodes"); do awk '/VmRSS/ {print $2}' "/proc/${pids[node-$i]}/status"; done | sort -n | tail -n 1 | awk '{printf "%.1f", $1 / 1024}'
}

# Prints the number of calls that the store has received.
store_calls() { curl -s "http://$platform/stats" | python3 -c 'import json,sys; s=json.load(sys.stdin); print(s.get("reads",0)+s.get("writes",0)+s.get("watches",0))'; }

snapshot() { echo "$(metric_sum apricotladder_peer_bytes_total 'direction="out"') $(metric_sum apricotladder_peer_messages_total 'direction="out"') $(cpu_ms) $(store_calls)"; }

echo "| nodes | bytes out per node and s | messages out per node and s | processor ms per node and s | store calls per s, all nodes | largest memory MB | processor ms per request | peer bytes per request |"
echo "|---|---|---|---|---|---|---|---|"
for nodes in 4 8 16 32; do
  node_flags="--logLevel warning" start_deployment examples/tablones "$nodes" >&2
  sleep 3
  read -r bytes0 messages0 cpu0 store0 <<<"$(snapshot)"
  sleep "$idle_seconds"
  read -r bytes1 messages1 cpu1 store1 <<<"$(snapshot)"
  "$bin/caller" --nodes "$node_urls" --engines "$engine_urls" --services "$service_urls" --prompts examples/prompts \
    --requests "$load_requests" --rate 30 --threads 96 --run "slopes-$nodes" --quiet >&2
  read -r bytes2 messages2 cpu2 store2 <<<"$(snapshot)"
  python3 - "$nodes" "$idle_seconds" "$load_requests" "$bytes0" "$bytes1" "$bytes2" "$messages0" "$messages1" "$cpu0" "$cpu1" "$cpu2" "$store0" "$store1" "$(memory_mb)" <<'PY'
import sys
n, idle, load, b0, b1, b2, m0, m1, c0, c1, c2, s0, s1 = map(float, sys.argv[1:14])
seconds = load / 30 + 2
idle_cpu, idle_bytes = (c1 - c0) / idle, (b1 - b0) / idle
per_request_cpu = max(0.0, (c2 - c1) - idle_cpu * seconds) / load
per_request_bytes = max(0.0, (b2 - b1) - idle_bytes * seconds) / load
print(f"| {n:.0f} | {idle_bytes / n:.0f} | {(m1 - m0) / idle / n:.1f} | {idle_cpu / n:.2f} | {(s1 - s0) / idle:.1f} | {sys.argv[14]} | {per_request_cpu:.2f} | {per_request_bytes:.0f} |", flush=True)
PY
  stop_all
done
