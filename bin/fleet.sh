# Functions that start and stop a fleet on loopback; sourced by the other scripts in this directory.
# The ids of all started processes are recorded, and only these processes are stopped.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=$root/endivestep/target/endivestep
emulator=$root/emulator/target/endivestep-emulator-0.1.0-all.jar
fleet_dir=$(mktemp -d)
fleet_pids=()
fleet_secret=loopback-trial-secret
store_port=${STORE_PORT:-21000}
export ENDIVESTEP_USER=trial ENDIVESTEP_PASSWORD=trial

start_process() { # LOG-NAME COMMAND...
  local name=$1
  shift
  "$@" > "$fleet_dir/$name.log" 2>&1 &
  last_pid=$!
  fleet_pids+=("$last_pid")
}

run_emulator() { # LOG-NAME ARGUMENTS...
  local name=$1
  shift
  start_process "$name" java -Xmx${EMULATOR_HEAP:-48m} -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -jar "$emulator" "$@"
}

start_store() {
  require_free "$store_port"
  run_emulator store store --port "$store_port"
  store_pid=$last_pid
  wait_for "http://127.0.0.1:$store_port/counts" 200
}

# Fails when something already listens on a port, for example a fleet that was not stopped.
require_free() { # PORT
  if (exec 3<> "/dev/tcp/127.0.0.1/$1") 2>/dev/null; then
    echo "port $1 is in use" >&2
    return 1
  fi
}

# A daemon listens on the ports N (callers), N+1 (inner) and N+2 (admin), its worker on N+3.
start_daemon() { # VM DATA-CENTRE PORT SEEDS
  local vm=$1 centre=$2 port=$3 seeds=$4
  require_free "$port"
  if [ -z "${fleet_hash:-}" ]; then fleet_hash=$(echo trial | "$program" hash-password); fi
  cat > "$fleet_dir/$vm.ini" <<INI
[daemon]
vm = $vm
data-centre = $centre
host = 127.0.0.1
caller-port = $port
inner-port = $((port + 1))
admin-port = $((port + 2))
seeds = $seeds
[store]
url = http://127.0.0.1:$store_port
[security]
shared-secret = $fleet_secret
[operators]
trial = $fleet_hash
INI
  start_process "$vm" "$program" daemon --settings "$fleet_dir/$vm.ini"
}

start_worker() { # NAME SERVICE DAEMON-PORT WORKER-ARGUMENTS...
  local name=$1 service=$2 port=$3
  shift 3
  run_emulator "$name" worker --port $((port + 3)) --admin "http://127.0.0.1:$((port + 2))" --service "$service" "$@"
}

wait_for() { # URL STATUS
  local tries=0
  while [ "$(curl -s -o /dev/null -w '%{http_code}' "$1")" != "$2" ]; do
    tries=$((tries + 1))
    if [ "$tries" -gt 300 ]; then echo "$1 did not answer with status $2 after 300 retries" >&2; return 1; fi
    sleep 0.1
  done
}

stop_fleet() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$fleet_dir"
}
trap stop_fleet EXIT
trap 'exit 143' TERM INT
