#!/usr/bin/env bash
# Runs the commands of README.md, docs/CALLERS.md and docs/OPERATIONS.md against a deployment on loopback and checks their
# output. Waits for expected states with generous timeouts; asserts no durations.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/deployment.sh
trap stop_all EXIT

failures=0
expect() { # expect TEXT OUTPUT DESCRIPTION: checks that OUTPUT contains TEXT
  if ! grep -qF -- "$1" <<<"$2"; then
    echo "FAILED $3: expected \"$1\" in: ${2:0:400}"
    failures=$((failures + 1))
  else
    echo "ok $3"
  fi
}
ladder() { "$bin/apricotladder" "$@"; }
status_contains() { grep -qF -- "$1" <<<"$(ladder status --store "http://$platform")"; }
engine_role_order() { curl -s "http://$1/v1/orders"; }
role_order_contains() { grep -qF -- "$2" <<<"$(engine_role_order "$1")"; }

start_deployment examples/tablones 6

# Every curl command of docs/CALLERS.md, in order.
while IFS= read -r line; do
  answer=$(bash -c "$line -s") || true
  case $line in
    *address*) expect '"addresses":[' "$answer" "$line" ;;
    *stream*) expect 'data: [DONE]' "$answer" "$line" ;;
    *DELETE*) expect '"cancelled":true' "$answer" "$line" ;;
    *completions*) expect '"choices":[' "$answer" "$line" ;;
    *) expect '"done":true' "$answer" "$line" ;;
  esac
done < <(grep '^curl ' docs/CALLERS.md)

# A repeated call with the same idempotency key at another node gets the recorded answer.
confirm_once() { curl -s "$(node_url "$1")/v1/services/crew-desk/calls" -H 'Idempotency-Key: two-taps' -d '{"operation":"confirm"}'; }
first=$(confirm_once 2)
expect "$first" "$(confirm_once 3)" "answer of the repeated call"
expect '"kind":"BadRequest"' "$(curl -s "$(node_url 1)/v1/services/crew-desk/calls" -d '{"operation":"confirm"}')" "a booking without a key"

# check reports all faults of an invalid set. Applied with --force it does not become active, and status reports the reason.
faults=$(ladder check examples/invalid) && { echo "FAILED check of the invalid set: exit code 0"; failures=$((failures + 1)); }
for fault in "floorShare: adds up to 1.3" "slotts: is not a known field" "refers to Service/crew-dask" "refers to DataCentre/nicoya" "is not idempotent" "is not an address"; do
  expect "$fault" "$faults" "check: $fault"
done
expect "no fault" "$(ladder check examples/huallaga)" "check of a valid set"
ladder apply examples/invalid --store "http://$platform" >/dev/null && { echo "FAILED apply of an invalid set: exit code 0"; failures=$((failures + 1)); }
mkdir -p "$work/broken"
sed 's/"floorShare": 0.2/"floorShare": 0.9/' examples/tablones/ranks.json >"$work/broken/ranks.json"
ladder apply "$work/broken" --store "http://$platform" --force >/dev/null || true
wait_until 200 status_contains "NOT valid"
expect "generation 1 in force" "$(ladder status --store "http://$platform")" "the old generation stays active"
expect "floorShare: adds up to" "$(ladder status --store "http://$platform")" "status reports the reason"

# A corrected and changed set becomes active on all nodes, and the engines are ordered to load the service's model version.
mkdir -p "$work/changed"
cp examples/tablones/*.json "$work/changed"
sed -i 's/"maxOutputTokens": 400/"maxOutputTokens": 400, "modelVersion": "v2"/' "$work/changed/services.json"
ladder apply "$work/changed" --store "http://$platform" >/dev/null
wait_until 200 status_contains "generation 2 in force on 6 of 6 nodes"
expect '"generation":2' "$(ladder status --store "http://$platform" --json)" "status for programs"
wait_until 600 role_order_contains "$(endpoints_of examples/tablones | awk '$1 == "summarizer-p1" {print $3}')" '"modelVersion":"v2"'
echo "ok an engine was ordered to load v2"

# Draining, timeline, addresses, metrics and readiness.
expect "gets no new work" "$(ladder drain summarizer-d1 --store "http://$platform")" "drain of an endpoint"
wait_until 200 status_contains "generation 3 in force on 6 of 6 nodes"
curl -s "$(node_url 1)/v1/completions" -H 'X-Request-Id: traced' -d '{"model":"summarizer","prompt":"one two three","max_tokens":25}' >/dev/null
line=$(ladder timeline --node "$(node_url 4)" --request traced)
for event in request.started prefill.started prefill.done decode.started request.done; do expect "$event" "$line" "time line: $event"; done
expect '"addresses"' "$(ladder address summarizer --node "$(node_url 1)" --data-centre nicoya)" "address"
expect 'apricotladder_generation 3' "$(curl -s "$(node_url 1)/metrics")" "metrics"
expect 'ready' "$(curl -s "$(node_url 1)/readyz")" "readyz"
expect "node node-2" "$(ladder status --node "$(node_url 2)")" "status of a node"
expect "leaving" "$(ladder drain --node "$(node_url 6)")" "drain of a node"
wait "${pids[node-6]}" || { echo "FAILED drain of a node: exit code $?"; failures=$((failures + 1)); }
unset 'pids[node-6]'

# With invalid settings the program prints one message and exits with code 2.
code=0
message=$("$bin/apricotladderd" --node n --silenceMs 1 2>&1) || code=$?
expect "silenceMs: 1 is out of range" "$message" "bad settings are named"
expect "exit 2" "exit $code" "exit code of bad settings"
code=0
ladder nonsense >/dev/null 2>&1 || code=$?
expect "exit 2" "exit $code" "exit code of an unknown command"
for command in check apply status address drain timeline; do expect "Usage" "$(ladder "$command" --help)" "$command --help"; done

echo "$failures documented commands failed"
exit $((failures > 0))
