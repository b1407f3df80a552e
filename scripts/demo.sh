#!/usr/bin/env bash
# Builds, starts a deployment like Tablones with six nodes on loopback, sends a mix of real calls and prints the results.
# The last line is JSON. Exits with 0 only if all guarantees held.
#   --input FILE   sends the requests of FILE, one JSON object per line, instead of the generated mix
#   --keep         leaves the deployment running and prints how to call and stop it
set -euo pipefail
cd "$(dirname "$0")/.."
input=
keep=
while [ $# -gt 0 ]; do
  case $1 in
    --input) input=${2:?--input needs a file}; shift 2 ;;
    --keep) keep=yes; shift ;;
    *) echo "usage: scripts/demo.sh [--input FILE] [--keep]" >&2; exit 2 ;;
  esac
done
[ -z "$input" ] || [ -r "$input" ] || { echo "demo: --input: cannot read $input" >&2; exit 2; }
scripts/build.sh >&2
. scripts/deployment.sh
trap stop_all EXIT
echo "starting 13 endpoints and 6 nodes; logs are in $work"
start_deployment examples/tablones 6
"$bin/apricotladder" status --store "http://$platform" | head -n 1
if [ -n "$input" ]; then source_flags=(--input "$input"); else source_flags=(--prompts examples/prompts --requests 240); fi
code=0
"$bin/caller" --nodes "$node_urls" --engines "$engine_urls" --services "$service_urls" "${source_flags[@]}" --run "demo-$$" >"$work/caller.out" || code=$?
head -n -1 "$work/caller.out"
echo
echo "resident memory and processor time of each node:"
for i in 1 2 3 4 5 6; do
  pid=${pids[node-$i]}
  echo "  node-$i  $(awk '/VmRSS/ {printf "%.1f MB", $2/1024}' "/proc/$pid/status")  $(ps -o time= -p "$pid")"
done
"$bin/apricotladder" status --node "$(node_url 1)"
tail -n 1 "$work/caller.out"
if [ -n "$keep" ]; then
  trap - EXIT
  cat >&2 <<MSG
The deployment is still running. Call it with
  curl -N $(node_url 1)/v1/completions -d '{"model":"summarizer","prompt":"Notes of the visit","stream":true,"max_tokens":30}'
  curl $(node_url 2)/v1/services/crew-desk/calls -H 'Idempotency-Key: my-first' -d '{"operation":"confirm"}'
and stop it with
  kill ${pids[*]}
MSG
fi
exit $code
