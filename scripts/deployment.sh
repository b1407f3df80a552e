# Functions to start and stop a deployment on loopback: a stand-in platform, stand-in endpoints of an example set, and
# nodes. Source this file. Processes are recorded and stopped by process id.

bin=${bin:-build/bin}
work=${work:-$(mktemp -d)}
platform=127.0.0.1:21000
key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
declare -A pids=()

# start_process NAME COMMAND...: runs a command in the background and appends its output to $work/NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop_process NAME [SIGNAL]: sends a signal (TERM by default) to one process and waits for its end.
stop_process() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

# stop_all: kills all recorded processes and waits for them.
stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  pids=()
}

node_url() { echo "http://127.0.0.1:$((21010 + $1))"; }

# data_centre NAMES NUMBER: data centre of a node; the nodes are spread over three names, separated by commas.
data_centre() { echo "$1" | cut -d, -f$((($2 - 1) % 3 + 1)); }

# start_node NUMBER DATACENTRES: starts a node and adds it to the VM list; with use_relays set, behind a datagram relay.
start_node() {
  local listen=
  if [ -n "${use_relays:-}" ]; then
    listen="--datagramListenAddress 127.0.0.1:$((21360 + $1))"
    start_process "relay-$1" "$bin/standin_relay" "127.0.0.1:$((21300 + $1))" "127.0.0.1:$((21360 + $1))" "127.0.0.1:$((21420 + $1))"
  fi
  start_process "node-$1" "$bin/apricotladderd" --node "node-$1" --dataCentre "$(data_centre "$2" "$1")" \
    --peerAddress "127.0.0.1:$((21300 + $1))" --callerAddress "127.0.0.1:$((21010 + $1))" \
    --storeUrl "http://$platform" --vmListUrl "http://$platform/vms" --peerKeys "$key" $listen ${node_flags:-}
  curl -s -o /dev/null -X PUT "http://$platform/vms" \
    -d "{\"name\":\"node-$1\",\"address\":\"127.0.0.1:$((21300 + $1))\",\"leaving\":false}"
}

# endpoints_of DIR: prints name, role and address of each endpoint, one endpoint per line.
endpoints_of() {
  python3 - "$1" <<'PY'
import json, sys
pools = {o["name"]: o["spec"]["role"] for o in json.load(open(sys.argv[1] + "/pools.json"))}
for o in json.load(open(sys.argv[1] + "/endpoints.json")):
    print(o["name"], pools[o["spec"]["pool"]], o["spec"]["address"])
PY
}

# start_endpoint NAME ROLE ADDRESS: starts the stand-in of a plain service or an engine.
start_endpoint() {
  if [ "$2" = plain ]; then
    start_process "$1" "$bin/standin_service" "$3"
  else
    start_process "$1" "$bin/standin_engine" --address "$3"
  fi
}

# start_deployment DIR NODES: starts all processes, applies the configuration and waits until all nodes are ready and
# see each other.
start_deployment() {
  local dir=$1 nodes=$2 name role address i
  centres=$(python3 -c 'import json,sys; print(",".join(o["name"] for o in json.load(open(sys.argv[1]+"/places.json"))))' "$dir")
  start_process platform "$bin/standin_platform" "$platform"
  wait_until 50 curl -sf -o /dev/null "http://$platform/stats"
  engine_urls=
  service_urls=
  while read -r name role address; do
    start_endpoint "$name" "$role" "$address"
    if [ "$role" = plain ]; then service_urls+="http://$address,"; else engine_urls+="http://$address,"; fi
  done < <(endpoints_of "$dir")
  node_urls=
  for i in $(seq 1 "$nodes"); do
    start_node "$i" "$centres"
    node_urls+="$(node_url "$i"),"
  done
  "$bin/apricotladder" apply "$dir" --store "http://$platform" >"$work/apply.log"
  for i in $(seq 1 "$nodes"); do
    wait_until 200 curl -sf -o /dev/null "$(node_url "$i")/readyz"
    wait_until 200 knows_members "$(node_url "$i")" "$nodes"
  done
}

# knows_members URL COUNT: succeeds if the node reports COUNT live members.
knows_members() {
  [ "$(curl -s "$1/v1/status" | grep -o '"state":"alive"' | wc -l)" -eq "$2" ]
}

# wait_until TRIES COMMAND...: runs a command every 50 ms until it succeeds; fails after TRIES attempts.
wait_until() {
  local tries=$1
  shift
  for _ in $(seq 1 "$tries"); do
    "$@" && return 0
    sleep 0.05
  done
  echo "deployment: timed out waiting for: $*" >&2
  return 1
}
