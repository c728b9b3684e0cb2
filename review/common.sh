# Functions of the review's scripts. Source it from a case's run.sh, which has set `case_dir`.
# All processes listen on 127.0.0.1; they are ended by their ids when the script ends.

cd "$case_dir/../.." || exit 2
kit=review/bin/reviewkit
program=target/skylarkchute # the deploy file's program
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
declare -A pid_of port_of front_of ready_of

[ -x "$kit" ] && [ -x "$program" ] || { echo "build deploy/system.toml and review/build.sh first"; exit 2; }
: >"$record"

stop_all() {
  local it
  for it in "${pids[@]}"; do kill -CONT "$it" 2>/dev/null; kill -KILL "$it" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

note() { echo "$("$kit" now) $*" >>"$record"; }

give_up() { note "could not run: $*"; echo "could not run: $*"; exit 2; }

new_port() { "$kit" ports 1; }

# Starts a process in the background and keeps its id. Usage: start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}

wait_listening() {
  local n
  for n in $(seq 100); do
    grep -q '^listening' "$work/$1.out" && return 0
    sleep 0.05
  done
  give_up "$1 did not start"
}

start_store() {
  store_port=$(new_port)
  start store "$kit" store "$store_port" "$record"
  wait_listening store
}

# Writes an object to the store as its owner would. Usage: put_object KIND NAME SPEC
put_object() { "$kit" call "$store_port" PUT "/standin/raw/$1/$2" "$3" >/dev/null || give_up "the store refused $1/$2"; }

remove_object() { "$kit" call "$store_port" DELETE "/standin/raw/$1/$2" >/dev/null; }

# Starts a server. Usage: start_server ID WORK-MS
start_server() {
  port_of[$1]=${port_of[$1]:-$(new_port)}
  start "$1" "$kit" server "${port_of[$1]}" "$1" "$2" "$record"
  wait_listening "$1"
  born=$("$kit" now)
}

# Writes a server's own entry. Usage: register ID STATE
register() {
  put_object servers "$1" "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:${port_of[$1]}\",\"Zone\":\"northway\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"$2\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":1800000000000}"
}

configuration() {
  cat <<'JSON'
{"Version":7,
 "Routes":[
  {"Name":"order","Host":"desk.example","PathPrefix":"/orders/","Kind":"non_idempotent","Service":"desk","TimeoutMs":1000,"TargetLatencyMs":100,"MaxAttempts":3,"Priority":2},
  {"Name":"check","Host":"desk.example","PathPrefix":"/checks/","Kind":"idempotent","Service":"desk","TimeoutMs":1000,"TargetLatencyMs":100,"MaxAttempts":3,"Priority":2}],
 "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":110}],
 "Tenants":[{"Name":"tenant-one","ApiKeys":["key-of-tenant-one"]}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
JSON
}

# Writes the settings of relays as deploy/relay.ini.template gives them. Usage: write_settings NAME...
write_settings() {
  local name ports seeds=
  declare -gA peer_of forward_of metrics_of
  for name in "$@"; do
    mapfile -t ports < <("$kit" ports 5)
    front_of[$name]=${ports[0]} ready_of[$name]=${ports[1]} peer_of[$name]=${ports[2]}
    forward_of[$name]=${ports[3]} metrics_of[$name]=${ports[4]}
    seeds=${seeds:+$seeds,}127.0.0.1:${ports[2]}
  done
  for name in "$@"; do
    cat >"$work/$name.ini" <<INI
[instance]
name = $name
zone = northway

[listen]
callers = 127.0.0.1:${front_of[$name]}
ready = 127.0.0.1:${ready_of[$name]}
peers = 127.0.0.1:${peer_of[$name]}
forwarded = 127.0.0.1:${forward_of[$name]}
metrics = 127.0.0.1:${metrics_of[$name]}

[platform]
store = 127.0.0.1:$store_port
seeds = $seeds

[retries]
ratio = 0.9
slack = 58
window = 10s

[rollouts]
exposed_share = 0.15
exposed_slack = 30

[shutdown]
grace = 8s

[log]
level = info
INI
  done
}

start_relay() { start "$1" "$program" relay --settings "$work/$1.ini"; }

is_ready() { "$kit" call "${ready_of[$1]}" GET /skylarkchute/readyz >/dev/null; }

# Usage: wait_ready NAME SECONDS
wait_ready() {
  local n
  for n in $(seq $(($2 * 10))); do
    is_ready "$1" && return 0
    sleep 0.1
  done
  return 1
}
