#!/usr/bin/env bash
# Injects faults into a deployment of real processes on loopback, each under load, and prints one JSON line per fault.
#   scripts/fault_run.sh [FAULT...]   runs all faults if none is given; --list prints their names
# Exits with 0 only if, under every fault, no request was lost or run twice, no NotRun was false and no memory stayed in use.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
trap stop_all EXIT
nodes=6
fault_after=3

faults=(kill-coordinator kill-owner kill-lease-holder kill-two-nodes pause-lease-holder store-down store-slow
  store-loses-replies silent-engine-connections silent-node-paths kill-prefill-engine kill-decode-engine
  kill-in-transfer stalled-transfer flood-urgent flood-low rolling-replacement)

# Prints the number of the first node whose status matches a pattern; 1 if none matches.
node_with() {
  local i
  for i in $(seq 1 "$nodes"); do
    curl -s "$(node_url "$i")/v1/status" | grep -q "$1" && { echo "$i"; return; }
  done
  echo 1
}

owner_node() { node_with '"service":"summarizer"'; }
lease_node() { node_with '"leaseHeld":true'; }

# Prints the number of a node that neither owns the slice nor holds the lease.
plain_node() {
  local i owner lease
  owner=$(owner_node)
  lease=$(lease_node)
  for i in $(seq 1 "$nodes"); do
    [ "$i" != "$owner" ] && [ "$i" != "$lease" ] && { echo "$i"; return; }
  done
}

address_of() { endpoints_of examples/tablones | awk -v name="$1" '$1 == name {print $3}'; }
control() { curl -s -o /dev/null -X POST "http://$1/control" -d "$2"; }

each_decode_engine() {
  local name role address
  while read -r name role address; do
    [ "$role" = decode ] && control "$address" "$1"
  done < <(endpoints_of examples/tablones)
  return 0
}

replace_every_node() {
  local i
  for i in $(seq 1 "$nodes"); do
    kill -TERM "${pids[node-$i]}"
    wait "${pids[node-$i]}"
    start_node "$i" "$centres"
    wait_until 200 curl -sf -o /dev/null "$(node_url "$i")/readyz"
    wait_until 200 knows_members "$(node_url "$i")" "$nodes"
  done
}

# Injects a fault. Called $fault_after seconds after the start of the load.
inject_fault() {
  case $1 in
    kill-coordinator) stop_process "node-$(plain_node)" KILL ;;
    kill-owner) stop_process "node-$(owner_node)" KILL ;;
    kill-lease-holder) stop_process "node-$(lease_node)" KILL ;;
    kill-two-nodes) local a b; a=$(owner_node); b=$(plain_node); stop_process "node-$a" KILL; stop_process "node-$b" KILL ;;
    pause-lease-holder) local i; i=$(lease_node); kill -STOP "${pids[node-$i]}"; sleep 6; kill -CONT "${pids[node-$i]}" ;;
    store-down) control "$platform" '{"outage":true}'; sleep 60; control "$platform" '{"outage":false}' ;;
    store-slow) control "$platform" '{"slowMs":700}'; sleep 6; control "$platform" '{"slowMs":0}' ;;
    store-loses-replies) control "$platform" '{"loseReplies":60}' ;;
    silent-engine-connections) each_decode_engine '{"silenceOpenConnections":true}' ;;
    silent-node-paths) local i; for i in $(seq 1 "$nodes"); do control "127.0.0.1:$((21420 + i))" '{"silence":true}'; done ;;
    kill-prefill-engine) stop_process summarizer-p1 KILL ;;
    kill-decode-engine) stop_process summarizer-d1 KILL ;;
    kill-in-transfer) control "$(address_of summarizer-d2)" '{"stallTransfersMs":1500}'; sleep 0.5; stop_process summarizer-d2 KILL ;;
    stalled-transfer) each_decode_engine '{"stallTransfersMs":700}' ;;
    flood-urgent | flood-low) ;;
    rolling-replacement) replace_every_node ;;
  esac
}

# Sets the load of a fault run: requests per second, seconds, threads and the mix. The floods send ten times the rated
# load of the engines.
set_load() {
  mix=summarizer,crew-desk,paying,draft,confirm,schedule
  threads=96
  case $1 in
    store-down) rate=15 seconds=70 ;;
    rolling-replacement) rate=20 seconds=75 ;;
    flood-urgent) rate=400 seconds=8 threads=400 mix=summarizer,crew-desk,paying,paying,confirm,schedule ;;
    flood-low) rate=400 seconds=8 threads=400 mix=summarizer,crew-desk,draft,draft,confirm,schedule ;;
    *) rate=30 seconds=14 ;;
  esac
}

run_fault() {
  local fault=$1 caller code=0
  set_load "$fault"
  use_relays=
  [ "$fault" = silent-node-paths ] && use_relays=yes
  start_deployment examples/tablones "$nodes" || return 1
  "$bin/caller" --nodes "$node_urls" --engines "$engine_urls" --services "$service_urls" --prompts examples/prompts \
    --requests $((rate * seconds)) --rate "$rate" --threads "$threads" --mix "$mix" --run "$fault-$$" --fault "$fault" \
    --fault-after-ms $((fault_after * 1000)) >"$work/$fault.out" 2>&1 &
  caller=$!
  sleep "$fault_after"
  inject_fault "$fault" >&2
  wait "$caller" || code=1
  tail -n 1 "$work/$fault.out"
  mkdir -p "$work/$fault-logs"
  mv "$work"/*.log "$work/$fault-logs"
  stop_all
  return $code
}

[ "${1:-}" != --list ] || { printf '%s\n' "${faults[@]}"; exit 0; }
scripts/build.sh >&2 || exit 2
echo "logs are in $work" >&2
worst=0
for fault in "${@:-${faults[@]}}"; do
  printf '%s\n' "${faults[@]}" | grep -qx -- "$fault" || { echo "fault_run: unknown fault \"$fault\"; --list prints the known ones" >&2; exit 2; }
  run_fault "$fault" || worst=1
done
exit $worst
