#!/usr/bin/env bash
# Builds bitternlead, starts a small system on free loopback ports, sends a short question,
# a long prompt and a booking twice, prints the answers, and stops all that it started.
# With --keep the system is left running and its addresses are printed.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = "--keep" ] && keep=yes

work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}

fail() {
    echo "quickstart failed: $*" >&2
    for f in "$work"/*.err; do
        [ -s "$f" ] && { echo "--- $(basename "$f")" >&2; tail -n 5 "$f" >&2; }
    done
    exit 1
}

on_exit() {
    code=$?
    [ "$keep" = yes ] && [ "$code" = 0 ] || stop_all
    exit "$code"
}
trap on_exit EXIT

# start NAME COMMAND... : runs a process and waits for its ready line.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=("$!")
    for _ in $(seq 1 100); do
        grep -q '^ready ' "$work/$name.out" && return 0
        kill -0 "$!" 2>/dev/null || fail "$name ended at its start"
        sleep 0.1
    done
    fail "$name was not ready within 10 s"
}

# address NAME KEY : an address from a ready line.
address() {
    tr ' ' '\n' <"$work/$1.out" | sed -n "s/^$2=//p" | head -n 1
}

# ask NAME KEY PATH BODY [HEADER...] : posts, prints outcome and time to the first line.
ask() {
    local name=$1 key=$2 path=$3 body=$4
    shift 4
    local begin first
    begin=$(date +%s%N)
    curl -sSN -D "$work/$name.head" -H "Authorization: Bearer $key" -H 'Expect:' \
        -H 'Content-Type: application/json' "$@" --data-binary "@$body" "http://$callers$path" \
        | { IFS= read -r line || true; date +%s%N >"$work/$name.first"; printf '%s\n' "$line"; cat; } \
        >"$work/$name.body" || fail "$name: no answer"
    first=$(cat "$work/$name.first")
    local status outcome
    status=$(sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' "$work/$name.head")
    outcome=$(tr -d '\r' <"$work/$name.head" | sed -n 's/^bitternlead-outcome: //p')
    echo "$name: status $status, outcome ${outcome:-in the stream}, first line after $(((first - begin) / 1000000)) ms"
    [ "$status" = 200 ] || fail "$name: status $status: $(head -c 300 "$work/$name.body")"
}

echo "building"
cargo build --quiet --bins --examples || fail "the build failed"
bin=target/debug/bitternlead
stand_in=target/debug/examples/stand_in

start stand-ins "$stand_in" --engines 2 --services 1
engine_1=$(address stand-ins engine-0)
engine_2=$(address stand-ins engine-1)
service=$(address stand-ins service-0)

start control "$bin" control --node control-1 --zone zone-1 --data "$work/control" \
    --listen 127.0.0.1:0 --operators-listen 127.0.0.1:0
control=$(address control control)
operators=$(address control operators)
export BITTERNLEAD_OPERATORS=$operators

"$bin" init || fail "init"
"$bin" apply --inventory examples/quickstart/inventory.toml --rules examples/quickstart/rules.toml \
    || fail "apply"

start agent-a "$bin" agent --node agent-a --zone zone-1 --control "$control" \
    --endpoints "draft-1=$engine_1"
start agent-b "$bin" agent --node agent-b --zone zone-2 --control "$control" \
    --endpoints "draft-2=$engine_2,orders-1=$service"
start entry "$bin" entry --node entry-1 --zone zone-1 --control "$control" --listen 127.0.0.1:0
callers=$(address entry callers)
admin=$(address entry admin)

ready=no
for _ in $(seq 1 200); do
    models=$(curl -sS -H 'Authorization: Bearer manuals-key-1' "http://$callers/v1/models" || true)
    serving=$("$bin" status | grep -c ' serving .*\(draft-8b\|service:orders\)' || true)
    if [[ "$models" == *draft-8b* ]] && [ "$serving" = 3 ]; then
        ready=yes
        break
    fi
    sleep 0.1
done
[ "$ready" = yes ] || fail "the models were not loaded within 20 s: $models"
curl -sS -o /dev/null -f "http://$admin/readyz" || fail "the entry is not ready"

echo '{"model":"draft-8b","max_tokens":12,"stream":true,"prompt":"When do the gates of hall 3 open?"}' >"$work/short.json"
{
    printf '{"model":"draft-8b","max_tokens":12,"stream":true,"prompt":"'
    head -c 400000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$work/long.json"
echo '{"stand":"H3-17","item":"power 16A"}' >"$work/order.json"

ask short manuals-key-1 /v1/completions "$work/short.json"
sed -n 's/^data: /  /p' "$work/short.body" | tail -n 2
ask long manuals-key-1 /v1/completions "$work/long.json"
for name in short long; do
    grep -q '^data: \[DONE\]' "$work/$name.body" || fail "the $name answer is not whole"
done
echo "  whole: $(grep -c '^data: {' "$work/long.body") events"
ask order-once manuals-key-1 /services/orders/book "$work/order.json" -H 'Idempotency-Key: order-1'
sed 's/^/  /' "$work/order-once.body"
ask order-again manuals-key-1 /services/orders/book "$work/order.json" -H 'Idempotency-Key: order-1'
sed 's/^/  /' "$work/order-again.body"
runs=$(curl -sS "http://$service/runs")
[ "$runs" = '{"order-1":1}' ] || fail "the order ran more than once: $runs"
echo "the service ran the order once"
"$bin" status || fail "status"

if [ "$keep" = yes ]; then
    echo "left running: callers $callers, operators $operators, files in $work"
    echo "processes: ${pids[*]}"
    echo "try: curl -H 'Authorization: Bearer manuals-key-1' -d '{\"model\":\"draft-8b\",\"prompt\":\"Hello\"}' http://$callers/v1/completions"
fi
echo "quickstart: all well"
