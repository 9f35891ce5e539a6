# Functions to run a mesh of processes on this machine: sourced by demo.sh, measure.sh and tests/processes.sh.
# Every process that is started here is ended by stop_mesh, also after an interrupt.

mesh_dir=$(mktemp -d)
mesh_pids=()
mesh_token=demo-token
export SHALLOTFIELD_TOKEN=$mesh_token

# Runs a command as a check and counts it. $1: what is checked; rest: the command.
passed=0
failed=0
check() {
  local name=$1
  shift
  if "$@" >/dev/null 2>&1; then
    passed=$((passed + 1))
    echo "ok: $name"
  else
    failed=$((failed + 1))
    echo "FAILED: $name"
  fi
}

# Starts a program with its output in a file. $1: name; rest: command. Sets started_pid.
start() {
  local name=$1
  shift
  "$@" >"$mesh_dir/$name.log" 2>&1 &
  started_pid=$!
  mesh_pids+=("$started_pid")
}

# Waits until a pattern stands in a log. $1: name; $2: pattern; $3: seconds, default 10.
await_line() {
  local until=$((SECONDS + ${3:-10}))
  until grep -q -s -E "$2" "$mesh_dir/$1.log"; do
    ((SECONDS < until)) || return 1
    sleep 0.05
  done
}

# Prints the port that a program opened. $1: name; $2: edge.
port_of() {
  await_line "$1" "event=listening edge=$2 "
  grep -m1 -oE "event=listening edge=$2 .*port=[0-9]+" "$mesh_dir/$1.log" | grep -oE '[0-9]+$'
}

# Starts the log service. Sets log_port.
start_log() {
  start log build/standin_log_service "${1:-0}"
  log_pid=$started_pid
  log_port=$(port_of log log)
}

# Starts a node. $1: id; $2: region; $3: zone; $4: more settings, as JSON members with a leading
# comma. Seeds are the control ports in mesh_seeds.
mesh_seeds=""
start_node() {
  cat >"$mesh_dir/$1.json" <<JSON
{ "node_id": "$1", "region": "$2", "zone": "$3", "host": "127.0.0.1",
  "log_url": "http://127.0.0.1:$log_port", "operators_token": "$mesh_token",
  "seeds": [$mesh_seeds]${4:-} }
JSON
  start "$1" build/shallotfield node --settings "$mesh_dir/$1.json"
}

# Starts the backend server beside a node. $1: node; $2: service; rest: options.
start_server() {
  local node=$1 service=$2
  shift 2
  start "$node-server" build/standin_backend_server --service "$service" \
    --node "127.0.0.1:$(port_of "$node" operators)" --token "$mesh_token" "$@"
}

# The address of a node's port. $1: node; $2: edge.
address() { echo "127.0.0.1:$(port_of "$1" "$2")"; }

# Waits until `status` on a node matches a jq filter. $1: node; $2: filter; $3: seconds.
await_status() {
  local node until
  node=$(address "$1" operators)
  until=$((SECONDS + ${3:-15}))
  while ((SECONDS < until)); do
    if build/shallotfield status --json --node "$node" 2>/dev/null | jq -e "$2" >/dev/null; then
      return 0
    fi
    sleep 0.1
  done
  return 1
}

# Ends what was started here, by id.
stop_mesh() {
  local pid
  for pid in "${mesh_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait "${mesh_pids[@]}" 2>/dev/null || true
  rm -rf "$mesh_dir"
}
trap stop_mesh EXIT
trap 'exit 130' INT TERM
