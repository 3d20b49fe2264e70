#!/bin/sh
# Sets up, builds and runs the main job on embedded stand-ins: a small fleet on loopback
# that serves requests, changes its declaration by plan and confirm, and loses an agent.
# Utilities/demo.sh [--keep]: with --keep the fleet runs on until Enter is pressed.
set -eu
cd "$(dirname "$0")/.."
sh Utilities/setup.sh
cmake --preset dev > /dev/null
cmake --build --preset dev --target rampgap-entry rampgap-agent rampgap-standin rampgapctl
bin="$PWD/build/dev/Source"
work="$(mktemp -d)"
pids=""
stop() {
    for pid in $pids; do kill "$pid" 2> /dev/null || true; done
    wait 2> /dev/null || true
    rm -r "$work"
}
trap stop EXIT

# start NAME PROGRAM ARGUMENT...: starts a process and sets $http and $peer to its ports.
start() {
    name="$1"
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.err" &
    last=$!
    pids="$pids $last"
    until grep -q '^ready' "$work/$name.out"; do sleep 0.05; done
    http="$(sed -n 's/^ready http=\([0-9]*\).*/\1/p' "$work/$name.out")"
    peer="$(sed -n 's/^ready.*peer=\([0-9]*\).*/\1/p' "$work/$name.out")"
}

operator_key=operators
operator_digest="$("$bin/rampgapctl" digest "$operator_key")"
start platform "$bin/rampgap-standin" platform
platform="127.0.0.1:$http"

body="[rules]
id_life_ms = 2000
[workspace borrowers]
key_digest = $("$bin/rampgapctl" digest borrowers-key)
uses = assistant, filings
[model assistant]
[service filings]
path = /filings
not_repeatable = yes
"
vms=""
# agent NAME ZONE SERVES ENGINE-ARGUMENT...: an engine and its agent.
agent() {
    backend="$1" zone="$2" serves="$3"
    shift 3
    start "engine-$backend" "$bin/rampgap-standin" "$@"
    start "$backend" "$bin/rampgap-agent" --set process.name="$backend" --set process.zone="$zone" \
        --set process.platform="$platform" --set process.operator_key_digest="$operator_digest" \
        --set process.exchange_interval_ms=500 --set agent.engine="127.0.0.1:$http"
    body="$body
[backend $backend]
zone = $zone
address = 127.0.0.1:$http
peer_address = 127.0.0.1:$peer
serves = $serves"
    vms="$vms{\"name\":\"$backend\",\"zone\":\"$zone\",\"role\":\"agent\",\"state\":\"live\",\"address\":\"127.0.0.1:$http\",\"peer_address\":\"127.0.0.1:$peer\"},"
}
agent assistant-1 hall-lac assistant engine
agent assistant-2 hall-charguia assistant engine
agent filings-1 hall-lac filings service
agent filings-2 hall-charguia filings service
doomed=$last
for zone in hall-lac hall-charguia; do
    start "entry-$zone" "$bin/rampgap-entry" --set process.name="entry-$zone" --set process.zone="$zone" \
        --set process.platform="$platform" --set process.operator_key_digest="$operator_digest" --set process.exchange_interval_ms=500
    vms="$vms{\"name\":\"entry-$zone\",\"zone\":\"$zone\",\"role\":\"entry\",\"state\":\"live\",\"address\":\"127.0.0.1:$http\",\"peer_address\":\"127.0.0.1:$peer\"},"
    entry="127.0.0.1:$http"
done
curl -sS -o /dev/null -X POST --data "{\"version\":1,\"vms\":[${vms%,}]}" "http://$platform/v1/vms"
export RAMPGAP_ENTRY="$entry" RAMPGAP_KEY="$operator_key"

echo "== Plan and confirm the first declaration"
echo "$body" > "$work/intent.ini"
"$bin/rampgapctl" plan "$work/intent.ini" --output "$work/plan.ini"
"$bin/rampgapctl" confirm "$work/plan.ini" --output "$work/revision-1.ini"
curl -sS -X PUT --data-binary @"$work/revision-1.ini" "http://$platform/v1/declarations/1"
"$bin/rampgapctl" wait 1

echo "== A streamed completion"
curl -sSN -H "Authorization: Bearer borrowers-key" -D "$work/headers" \
    --data '{"model":"assistant","prompt":"Explain my repayment terms","max_tokens":5,"stream":true}' "http://$entry/v1/completions"
request="$(sed -n 's/^Rampgap-Request-Id: \(.*\)\r$/\1/p' "$work/headers")"
echo "== Its time line over all processes"
"$bin/rampgapctl" timeline --request "$request"

echo "== A filing that may run only once, sent twice"
sleep 2.2
for try in 1 2; do
    curl -sS -w ' (status %{http_code})\n' -H "Authorization: Bearer borrowers-key" -H "Idempotency-Key: deferral-17" --data "deferral notice" "http://$entry/filings"
done

echo "== Drain one backend by plan and confirm"
"$bin/rampgapctl" drain assistant-1 --output "$work/plan.ini"
"$bin/rampgapctl" confirm "$work/plan.ini" --output "$work/revision-2.ini"
curl -sS -X PUT --data-binary @"$work/revision-2.ini" "http://$platform/v1/declarations/2"
"$bin/rampgapctl" wait 2

echo "== Kill an agent and find the cause on the time line"
kill -9 "$doomed"
for number in 1 2 3 4 5 6 7 8; do
    curl -sS -o /dev/null -D "$work/headers" -w "filing $number: status %{http_code}\n" -H "Authorization: Bearer borrowers-key" -H "Idempotency-Key: after-$number" --data x "http://$entry/filings"
done
"$bin/rampgapctl" timeline | grep -E 'refused|lost' | tail -4 || true
"$bin/rampgapctl" status
if [ "${1:-}" = "--keep" ]; then
    echo "The fleet runs on; RAMPGAP_ENTRY=$entry RAMPGAP_KEY=$operator_key. Press Enter to end it."
    read -r _
fi
echo "== Done"
