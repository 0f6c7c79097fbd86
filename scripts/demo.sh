#!/usr/bin/env bash
# Starts stand-ins and three daemons on loopback, drives orders through them,
# kills one daemon gracefully and one abruptly, cuts off the primary database,
# and checks that every acknowledged order is in the database once. Ends all
# processes that it started and exits non-zero on a violation.
# Usage: scripts/demo.sh [--no-build] [--serve]
# --serve starts the same system, prints a curl command for a first order and
# runs for ten minutes or until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

build=1 serve=0 run_seconds=120
for option in "$@"; do
  case $option in
    --no-build) build=0 ;;
    --serve) serve=1 run_seconds=600 ;;
    *) echo "unknown option $option" >&2; exit 2 ;;
  esac
done
if [ "$build" = 1 ]; then
  bash scripts/dependencies.sh
  cmake -G Ninja -S . -B build >/dev/null
  ninja -C build tarragondaled tarragondalectl tarragondale-standin | tail -n 1
fi

readonly bin=$PWD/build/src workers=6 orders_per_worker=25
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${keep:-0}" = 1 ]; then echo "logs: $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
trap 'keep=1; echo "demo: line $LINENO failed" >&2' ERR
fail() {
  echo "demo: $*" >&2
  keep=1
  exit 1
}

# Ports below the range that the system gives to outgoing connections.
free_port() {
  local port
  while :; do
    port=$((12000 + RANDOM % 20000))
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
  done
  echo "$port"
}

# wait_for SECONDS COMMAND...: polls until the command succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$2"; }

"$bin/tarragondale-standin" --group=orders:orders-1,orders-2,orders-3 \
  --initial-sql=examples/demo/schema.sql --run-seconds="$run_seconds" \
  >"$work/standin.json" 2>"$work/standin.log" &
pids+=($!)
wait_for 10 test -s "$work/standin.json" || fail "the stand-in did not start"
control=$(field control "$work/standin.json")
store=$(field store "$work/standin.json")
vm_list=$(field vm_list "$work/standin.json")

sed -e "s/@orders-1@/$(field orders-1 "$work/standin.json")/" \
  -e "s/@orders-2@/$(field orders-2 "$work/standin.json")/" \
  -e "s/@orders-3@/$(field orders-3 "$work/standin.json")/" \
  examples/demo/tables.json >"$work/tables.json"

operator_key=demo-operator
printf %s "$operator_key" >"$work/operator-key"
digest=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
token_key=$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
zones=(taoyuan hsinchu kaohsiung)
regions=(north-tw north-tw south-tw)
vm_rows=()
for i in 0 1 2; do
  http[i]=127.0.0.1:$(free_port)
  peer[i]=127.0.0.1:$(free_port)
  vm_rows+=("{\"name\": \"vm-$((i + 1))\", \"http_address\": \"${http[i]}\",
    \"peer_address\": \"${peer[i]}\", \"availability_zone\": \"${zones[i]}\",
    \"region\": \"${regions[i]}\", \"state\": \"live\"}")
  cat >"$work/vm-$((i + 1)).ini" <<INI
[vm]
name = vm-$((i + 1))
availability_zone = ${zones[i]}
region = ${regions[i]}
http_address = ${http[i]}
peer_address = ${peer[i]}
[store]
endpoints = $store
region = north-tw
[vm_list]
url = http://$vm_list/v1/vms
[session]
token_key = $token_key
[admin]
operator_key_digest = $digest
INI
done
curl -sf -X POST "http://$control/v1/vms" \
  -d "{\"vms\": [$(IFS=,; echo "${vm_rows[*]}")]}" >/dev/null

for i in 0 1 2; do
  "$bin/tarragondaled" --settings="$work/vm-$((i + 1)).ini" \
    --run-seconds="$run_seconds" 2>"$work/vm-$((i + 1)).log" &
  daemon[i]=$!
  pids+=($!)
done
for i in 0 1 2; do
  wait_for 15 curl -sf "http://${http[i]}/healthz" ||
    fail "vm-$((i + 1)) did not start: $(cat "$work/vm-$((i + 1)).log")"
done

ctl() {
  "$bin/tarragondalectl" "$@" --operator demo \
    --operator-key-file "$work/operator-key"
}
fleet=(--store "$store" --vm-list "http://$vm_list/v1/vms")
ctl apply "$work/tables.json" "${fleet[@]}" || fail "the tables were not accepted"
key=$(ctl keys grant north-office --wait "${fleet[@]}" 2>"$work/grant.log") ||
  fail "the key was not granted: $(cat "$work/grant.log")"
key=$(printf '%s\n' "$key" | grep -o '[A-Za-z0-9_-]*\.[A-Za-z0-9_-]*' | head -n 1)
for i in 0 1 2; do
  wait_for 15 curl -sf "http://${http[i]}/readyz" || fail "vm-$((i + 1)) is not ready"
done

if [ "$serve" = 1 ]; then
  cat <<HELP
demo: three VMs serve callers on ${http[*]}.
demo: send a first order with
  curl -i http://${http[0]}/v1/execute -H 'Authorization: Bearer $key' \\
    -H 'Idempotency-Key: my-first-order' -d '{"route": "orders", "kind": "write",
    "statements": [{"sql": "INSERT INTO orders VALUES (\$1, \$2)", "params": ["o-1", "disc"]}]}'
demo: and read it on another VM, with the token of that answer, with
  curl -i http://${http[1]}/v1/execute -H 'Authorization: Bearer $key' \\
    -H 'Tarragondale-Session: <token>' -d '{"route": "orders", "kind": "read",
    "statements": [{"sql": "SELECT * FROM orders WHERE id = \$1", "params": ["o-1"]}]}'
demo: faults are injected at http://$control (docs/standin.md); logs are in $work
HELP
  wait "${daemon[0]}" || true
  exit 0
fi

# send_order VM ID: one attempt; prints the answer's body.
send_order() {
  curl -s -m 8 -X POST "http://${http[$1]}/v1/execute" \
    -H "Authorization: Bearer $key" -H "Idempotency-Key: $2" \
    -d "{\"route\": \"orders\", \"kind\": \"write\", \"timeout_ms\": 6000, \"statements\": [{\"sql\": \"INSERT INTO orders(id, item) VALUES (\$1, \$2)\", \"params\": [\"$2\", \"parking disc\"]}]}"
}

# Repeats an order with the same idempotency key, on any VM, until it is done.
place_order() {
  local id=$1 attempt body
  for attempt in $(seq 1 40); do
    body=$(send_order $((RANDOM % 3)) "$id") || body=
    case "$body" in
      *'"outcome":"done"'*)
        echo "$id" >>"$work/acknowledged.$2"
        return 0
        ;;
    esac
    printf '%s %s %s\n' "$id" "$attempt" "${body:-no answer}" >>"$work/retries.$2"
    sleep 0.2
  done
  echo "$id" >>"$work/given-up.$2"
}

worker() {
  for n in $(seq 1 "$orders_per_worker"); do
    place_order "order-$1-$n" "$1"
  done
}

send_order 0 first-order | tee "$work/first.json"
grep -q '"outcome":"done"' "$work/first.json" || fail "the first order was not acknowledged"
touch "$work/acknowledged.0" "$work/retries.0" "$work/given-up.0"
worker_pids=()
for w in $(seq 1 "$workers"); do
  worker "$w" &
  worker_pids+=($!)
done

count_acknowledged() { cat "$work"/acknowledged.* | wc -l; }
has_orders() { [ "$(count_acknowledged)" -ge "$1" ]; }

wait_for 60 has_orders 20 || fail "orders do not get through"
echo "demo: shutting vm-1 down gracefully"
kill -TERM "${daemon[0]}"
wait_for 60 has_orders 60 || fail "orders stop after a graceful shutdown"
echo "demo: killing vm-2 abruptly"
disown "${daemon[1]}"
kill -KILL "${daemon[1]}"
wait_for 60 has_orders 100 || fail "orders stop after an abrupt death"
echo "demo: cutting off the primary database orders-1"
curl -sf -X POST "http://$control/v1/parts/orders-1/cut" -d '{}' >/dev/null
wait "${worker_pids[@]}"

wait "${daemon[0]}" && graceful=0 || graceful=$?
curl -sf -X POST "http://$control/v1/parts/orders-1/heal" -d '{}' >/dev/null
ctl status --vms "${http[2]}"

# Prints the member that serves as primary of the highest term.
find_primary() {
  local member row
  for member in orders-1 orders-2 orders-3; do
    # The row is "member, role, term, ...".
    row=$(curl -s "http://$control/v1/parts/$member/status" | tr -d '\n "' |
      sed 's/.*rows:\[\[//')
    case "$row" in
      "$member",primary,*) echo "$(printf %s "$row" | cut -d, -f3) $member" ;;
    esac
  done | sort -n | tail -n 1 | cut -d' ' -f2
}
primary=$(find_primary)
curl -s -X POST "http://$control/v1/parts/$primary/select" \
  -d '{"sql": "SELECT id FROM orders"}' | grep -o 'order-[0-9]*-[0-9]*' | sort >"$work/stored"
cat "$work"/acknowledged.* | sort >"$work/acknowledged"
lost=$(comm -23 <(sort -u "$work/acknowledged") <(sort -u "$work/stored") | wc -l)
doubled=$(uniq -d "$work/stored" | wc -l)
given_up=$(cat "$work"/given-up.* | wc -l)
retries=$(cat "$work"/retries.* | wc -l)
cat <<REPORT
demo: primary is $primary
demo: $(wc -l <"$work/acknowledged") orders acknowledged, $(wc -l <"$work/stored") stored, $lost lost, $doubled doubled
demo: $retries attempts were repeated, $given_up orders were given up
demo: graceful shutdown of vm-1 ended with exit code $graceful
REPORT
[ "$lost" -eq 0 ] || fail "acknowledged orders are missing"
[ "$doubled" -eq 0 ] || fail "orders are stored twice"
[ "$given_up" -eq 0 ] || fail "orders were given up"
[ "$graceful" -eq 0 ] || fail "the graceful shutdown cut requests"
[ "$(wc -l <"$work/acknowledged")" -eq $((workers * orders_per_worker)) ] ||
  fail "the number of acknowledged orders is wrong"
echo "demo: ok"
