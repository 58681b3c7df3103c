# Functions that run a whole system as separate processes on loopback, sourced by
# the other scripts. They signal only processes that they started, by process id.

# Sizes and ports. Each can be overridden by the environment.
CONTROL_VMS=${CONTROL_VMS:-3}
ENTRY_VMS_PER_ZONE=${ENTRY_VMS_PER_ZONE:-3}
ENGINES_PER_ZONE=${ENGINES_PER_ZONE:-5}
BASE_PORT=${BASE_PORT:-$((20000 + $$ % 150 * 60))} # varies with the process id, stays below the ephemeral ports
POLICY=${POLICY:-leases}
SERVICE_TIME=${SERVICE_TIME:-5ms}
ZONES=(a b c)

declare -A PIDS   # process id by name
declare -A PORTS  # port by NAME.USE

# next_port NAME USE: assigns the next port, counted from BASE_PORT.
next_port() {
  PORTS["$1.$2"]=$BASE_PORT
  BASE_PORT=$((BASE_PORT + 1))
}

address() { echo "127.0.0.1:${PORTS[$1.$2]}"; }

# entry_names, control_names, engine_names and service_names print the names of the
# processes of each kind.
entry_names() { for z in "${ZONES[@]}"; do for i in $(seq "$ENTRY_VMS_PER_ZONE"); do echo "entry-$z$i"; done; done; }
control_names() { for z in "${ZONES[@]:0:$CONTROL_VMS}"; do echo "control-$z"; done; }
engine_names() { for z in "${ZONES[@]}"; do for i in $(seq "$ENGINES_PER_ZONE"); do echo "engine-$z$i"; done; done; }
service_names() { for z in "${ZONES[@]}"; do echo "voyages-$z"; done; }

# zone_of NAME: prints the availability zone, the first letter after the dash.
zone_of() { local rest=${1#*-}; echo "${rest:0:1}"; }

assign_ports() {
  local name
  for name in $(entry_names); do next_port "$name" callers; next_port "$name" backends; next_port "$name" internal; done
  for name in $(control_names); do next_port "$name" internal; next_port "$name" operators; done
  for name in $(engine_names) $(service_names); do next_port "$name" http; done
}

# peers: prints the lists of VMs that all settings have in common.
peers() {
  local name
  echo '  "entry_vms": ['
  for name in $(entry_names); do
    echo "    {\"name\": \"$name\", \"zone\": \"$(zone_of "$name")\", \"internal\": \"$(address "$name" internal)\", \"backends\": \"$(address "$name" backends)\"},"
  done
  echo '  ],'
  echo '  "control_vms": ['
  for name in $(control_names); do
    echo "    {\"name\": \"$name\", \"zone\": \"$(zone_of "$name")\", \"internal\": \"$(address "$name" internal)\", \"operators\": \"$(address "$name" operators)\"},"
  done
  echo '  ],'
}

# settings_head NAME ROLE: prints the common beginning of the settings of both roles.
settings_head() {
  echo '{'
  echo '  "cluster": "tour",'
  echo "  \"vm\": {\"name\": \"$1\", \"zone\": \"$(zone_of "$1")\"},"
  echo "  \"roles\": [\"$2\"],"
  peers
  echo "  \"operators\": {\"required_signatures\": 1, \"keys\": [$OPERATOR_KEY]},"
}

write_entry_settings() {
  settings_head "$1" entry
  echo "  \"listen\": {\"callers\": \"$(address "$1" callers)\", \"backends\": \"$(address "$1" backends)\", \"internal\": \"$(address "$1" internal)\"},"
  if [ "$CONTROL_VMS" = 0 ]; then echo "  \"bundle_file\": \"$FOLDER/bundle.json\","; fi
  echo "  \"routing\": {\"policy\": \"$POLICY\"},"
  echo '}'
}

write_control_settings() {
  settings_head "$1" control
  echo "  \"listen\": {\"internal\": \"$(address "$1" internal)\", \"operators\": \"$(address "$1" operators)\"},"
  echo "  \"data_dir\": \"$FOLDER/data/$1\","
  echo '  "control": {"bootstrap": true},'
  echo '}'
}

# generate: assigns the ports, writes the operator key, the bundle and the settings
# to FOLDER, and checks the settings.
generate() {
  mkdir -p "$FOLDER/settings" "$FOLDER/logs" "$FOLDER/data"
  assign_ports
  cp scenarios/tidewake.bundle.json "$FOLDER/bundle.json"
  rm -f "$FOLDER/operator.key"
  OPERATOR_KEY=$("$BINARY" bundle keygen --name operator --out "$FOLDER/operator.key")
  local name
  for name in $(entry_names); do write_entry_settings "$name" >"$FOLDER/settings/$name.json"; done
  for name in $(control_names); do write_control_settings "$name" >"$FOLDER/settings/$name.json"; done
  for name in $(entry_names) $(control_names); do "$BINARY" settings check "$FOLDER/settings/$name.json" >/dev/null; done
}

# start NAME ARGUMENTS...: starts the binary as a process that logs to FOLDER/logs.
start() {
  local name=$1
  shift
  "$BINARY" "$@" >>"$FOLDER/logs/$name.log" 2>&1 &
  PIDS[$name]=$!
  disown $! # no message from the shell when it exits
}

start_vm() { start "$1" serve --settings "$FOLDER/settings/$1.json"; }

# start_standin NAME: starts a stand-in engine or service. It announces itself to the
# entry VMs of its zone.
start_standin() {
  local name=$1 zone seeds=() entry
  zone=$(zone_of "$name")
  for entry in $(entry_names); do
    if [ "$(zone_of "$entry")" = "$zone" ]; then seeds+=(--entry "$(address "$entry" backends)"); fi
  done
  case $name in
  engine-*) start "$name" standin engine --id "$name" --zone "$zone" --model scribe@1 --listen "$(address "$name" http)" "${seeds[@]}" ;;
  *)
    if [ -n "${RECORDS:-}" ]; then seeds+=(--record "$RECORDS/$name"); fi
    start "$name" standin service --id "$name" --zone "$zone" --service voyages --work-time "$SERVICE_TIME" --listen "$(address "$name" http)" "${seeds[@]}"
    ;;
  esac
}

start_all() {
  local name
  for name in $(control_names) $(entry_names); do start_vm "$name"; done
  for name in $(engine_names) $(service_names); do start_standin "$name"; done
}

# all_alive: fails and prints the name of a process if one has exited.
all_alive() {
  local name
  for name in "${!PIDS[@]}"; do
    if ! kill -0 "${PIDS[$name]}" 2>/dev/null; then echo "$name has exited; see $FOLDER/logs/$name.log" >&2; return 1; fi
  done
}

# accept_bundle: signs the bundle as version 1 and submits it. Without control VMs
# entry VMs read the bundle from its file, and there is nothing to submit.
accept_bundle() {
  if [ "$CONTROL_VMS" = 0 ]; then return; fi
  "$BINARY" bundle sign --key "$FOLDER/operator.key" --name operator --version 1 "$FOLDER/bundle.json"
  "$BINARY" bundle submit --settings "$FOLDER/settings/entry-a1.json" "$FOLDER/bundle.json"
}

# wait_ready: waits until every entry VM is ready. It fails if one of them is not
# ready after 150 tries (30 s of waiting).
wait_ready() {
  local name tries
  for name in $(entry_names); do
    tries=0
    until curl -sf -o /dev/null "http://$(address "$name" callers)/readyz"; do
      tries=$((tries + 1))
      if [ "$tries" -gt 150 ]; then echo "$name is not ready; see $FOLDER/logs/$name.log" >&2; return 1; fi
      sleep 0.2
    done
  done
}

# end NAME SIGNAL: sends SIGNAL to a process that this script started.
end() { if [ -n "${PIDS[$1]:-}" ]; then kill "-$2" "${PIDS[$1]}" 2>/dev/null || true; fi; }

any_alive() {
  local name
  for name in "${!PIDS[@]}"; do if kill -0 "${PIDS[$name]}" 2>/dev/null; then return 0; fi; done
  return 1
}

# stop_all: sends SIGTERM to every process that this script started, and SIGKILL to
# those that still run after 10 s.
stop_all() {
  local name
  for name in "${!PIDS[@]}"; do end "$name" TERM; done
  for _ in $(seq 40); do
    if ! any_alive; then return; fi
    sleep 0.25
  done
  for name in "${!PIDS[@]}"; do end "$name" KILL; done
}
