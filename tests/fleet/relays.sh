# Functions that start a stand-in for the users' platform, and relays connected to it, as real
# processes on the loopback address. Source fleet.sh first; its stop_fleet stops them.

declare -A endpoint_pid endpoint_port ready_port status_port peer_address forward_port
relay_key=example-dispatch-key

# Starts the stand-in for the users' object store and sets users_store_port to its port.
start_users_store() {
  start_standin users-store users-store || return 1
  users_store_port=$standin_port
}

# Starts an endpoint that registers itself in the store. Usage: start_endpoint ID SERVICE ZONE [OPTIONS]
start_endpoint() {
  local id=$1 service=$2 zone=$3
  shift 3
  start_standin "$id" users-endpoint --store "$users_store_port" --id "$id" --service "$service" --zone "$zone" "$@" || return 1
  endpoint_pid[$id]=${pids[-1]}
  endpoint_port[$id]=$standin_port
}

# Creates an object in the store, as an operator would. Usage: operator_creates KIND NAME SPEC-JSON
operator_creates() {
  curl -sS -o /dev/null -X POST "http://127.0.0.1:$users_store_port/skylarkchute/objects/$1" \
    -d "{\"Metadata\":{\"Name\":\"$2\"},\"Spec\":$3}"
}

# Replaces the Spec of an object in the store, as an operator would. Usage: operator_replaces KIND NAME SPEC-JSON
operator_replaces() {
  curl -sS -o /dev/null -X PUT "http://127.0.0.1:$users_store_port/skylarkchute/objects/$1/$2" \
    -d "{\"Metadata\":{\"Name\":\"$2\"},\"Spec\":$3}"
}

# Prints an object of the store. Usage: stored_object KIND NAME
stored_object() {
  curl -sS "http://127.0.0.1:$users_store_port/skylarkchute/objects/$1/$2"
}

# Starts a relay. Usage: start_relay NAME ZONE
start_relay() {
  local name=$1 zone=$2
  caller_port[$name]=${caller_port[$name]:-$(free_port)}
  ready_port[$name]=${ready_port[$name]:-$(free_port)}
  peer_address[$name]=${peer_address[$name]:-127.0.0.1:$(free_port)}
  forward_port[$name]=${forward_port[$name]:-$(free_port)}
  status_port[$name]=${status_port[$name]:-$(free_port)}
  sed -e "s/^name = .*/name = $name/" -e "s/^zone = .*/zone = $zone/" \
    -e "s/^callers = .*/callers = 127.0.0.1:${caller_port[$name]}/" \
    -e "s/^ready = .*/ready = 127.0.0.1:${ready_port[$name]}/" \
    -e "s/^peers = .*/peers = ${peer_address[$name]}/" \
    -e "s/^forwarded = .*/forwarded = 127.0.0.1:${forward_port[$name]}/" \
    -e "s/^metrics = .*/metrics = 127.0.0.1:${status_port[$name]}/" \
    -e "s/^store = .*/store = 127.0.0.1:$users_store_port/" \
    -e "s/^seeds = .*/seeds = ${peer_address[relay-1]}/" examples/relay.ini >"$work/$name.ini"
  "$bin/app/skylarkchute" relay --settings "$work/$name.ini" >"$work/$name.out" 2>>"$work/$name.log" &
  instance_pid[$name]=$!
  pids+=($!)
}

# Waits until a relay is ready. Usage: wait_relay NAME
wait_relay() {
  for _ in $(seq 400); do
    curl -sf -o /dev/null "http://127.0.0.1:${ready_port[$1]}/skylarkchute/readyz" && return 0
    sleep 0.05
  done
  echo "relay $1 did not become ready" >&2
  tail -n 20 "$work/$1.log" "$work/$1.out" >&2
  return 1
}

# Prints the output of `status` for relays. Usage: relay_status NAME... [--json]
relay_status() {
  local arguments=() it
  for it in "$@"; do
    case $it in
      --*) arguments+=("$it") ;;
      *) arguments+=(--instance "127.0.0.1:${status_port[$it]}") ;;
    esac
  done
  "$bin/app/skylarkchute" status "${arguments[@]}"
}
