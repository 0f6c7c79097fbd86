# Shared by the scripts of the cases: addresses, settings and processes. Every
# address is a loopback address of its own; files go to a temporary folder.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root"
temporary=$(mktemp -d)
prefix=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
processes=()

end_processes() {
  local process file
  touch "$temporary/end"
  for file in "$temporary"/vm-*.pid; do
    [ -e "$file" ] && processes+=("$(cat "$file")")
  done
  for process in "${processes[@]}"; do
    kill -CONT "$process" 2>/dev/null
    kill -KILL "$process" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$temporary"
}
trap end_processes EXIT

# render_settings NUMBER ZONE REGION VMS: the settings file of a VM, from the
# template of the deploy file.
render_settings() {
  local seeds="" i
  for i in $(seq 1 "$(($4 < 3 ? $4 : 3))"); do
    seeds+="${seeds:+,}$prefix.$((10 + i)):8462"
  done
  sed -e "s/{{nodeName}}/front-$2-$1/" -e "s/{{zone}}/$2/" \
    -e "s/{{region}}/$3/" \
    -e "s/{{listen.controlPlane}}/$prefix.$((10 + $1)):8462/" \
    -e "s/{{listen.front}}/$prefix.$((10 + $1)):8465/" \
    -e "s/{{listen.ready}}/$prefix.$((10 + $1)):8460/" \
    -e "s/{{platform.address}}/$prefix.$((60 + $1)):8466/" \
    -e "s/{{cloudApi.address}}/$prefix.$((110 + $1)):8466/" \
    -e "s/{{seedNodes}}/$seeds/" \
    -e "s/{{#zones}}.*{{\/zones}}/taoyuan:north-tw,kaohsiung:south-tw,hsinchu:north-tw/" \
    -e "s/{{limits.memoryMb}}/260/" -e "s/{{limits.maxFds}}/4300/" \
    -e "s/{{bounds.drainMs}}/7000/" -e "s/{{bounds.graceS}}/6/" \
    deploy/settings.ini.template >"$temporary/vm-$1.ini"
}

# zone_of NUMBER: the zone of a VM; a case may replace this function.
zone_of() {
  local zones=(taoyuan kaohsiung hsinchu)
  echo "${zones[$(($1 % 3))]}"
}

# supervise NUMBER LOG: runs a VM with the command of the deploy file's role. As
# on the platform, a process that ended is started again after a short delay.
supervise() {
  local vm
  while [ ! -e "$temporary/end" ]; do
    target/src/tarragondaled --settings="$temporary/vm-$1.ini" >>"$2" 2>&1 &
    vm=$!
    echo "$vm" >"$temporary/vm-$1.pid"
    wait "$vm" 2>/dev/null
    rm -f "$temporary/vm-$1.pid"
    sleep 0.3
  done
}

# start_vms COUNT. Their logs stay in the case's folder if LOGS=1.
start_vms() {
  local i log zone region
  for i in $(seq 1 "$1"); do
    zone=$(zone_of "$i")
    region=north-tw
    [ "$zone" = kaohsiung ] && region=south-tw
    render_settings "$i" "$zone" "$region" "$1"
    log=$temporary/vm-$i.log
    [ "${LOGS:-0}" = 1 ] && log=$here/vm-$i.log
    : >"$log"
    supervise "$i" "$log" &
    processes+=($!)
  done
}

# run_case PROGRAM VMS TROUBLE: starts the stand-ins, then the VMs, and exits
# with the verdict: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE 0: without the disruption.
run_case() {
  local verdict
  [ -x target/src/tarragondaled ] && [ -x "target/review/$1" ] || {
    echo "build first: the deploy file's build, then review/build.sh"
    exit 2
  }
  "target/review/$1" "$prefix" "$here/record.txt" "$3" "$temporary" \
    2>"$temporary/stderr" &
  local standins=$!
  processes+=("$standins")
  for _ in $(seq 1 100); do
    [ -e "$temporary/ready" ] && break
    sleep 0.05
  done
  start_vms "$2"
  wait "$standins"
  verdict=$?
  case $verdict in
  0 | 1) ;;
  *) verdict=2 ;;
  esac
  tail -n 3 "$here/record.txt"
  exit "$verdict"
}
