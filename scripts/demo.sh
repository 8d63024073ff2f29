#!/usr/bin/env bash
# Runs two end-to-end demonstrations on this machine. First pools: three daemons with the
# embedded default settings, one upstream emulator, one contract; discovery, streamed
# answers, one operator change. Then routed services: three daemons that form their group
# by themselves, an emulated engine that they find in a list, a routing document, streams.
# Needs nothing but Go. Ends by itself with a summary.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  sleep 0.3
  # A second signal ends a graceful shutdown early.
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

go build -o "$work" ./cmd/...
export PATH="$work:$PATH"
export MARIGOLDSHUNTCTL_HOSTS=127.0.0.1:7101,127.0.0.2:7101,127.0.0.3:7101
export MARIGOLDSHUNTCTL_KEY=marigoldshunt-development-operator

upstream-emulator -address 127.0.0.10:7200 -tokens-per-second 100 -tokens-per-answer 24 -seed 1 >"$work/engine.log" 2>&1 &
pids+=($!)
members=h1=127.0.0.1,h2=127.0.0.2,h3=127.0.0.3
for i in 1 2 3; do
  centre=north
  [ "$i" = 3 ] && centre=south
  marigoldshuntd -host "h$i" -ip "127.0.0.$i" -data-centre "$centre" -data "$work/data-$i" -control-hosts "$members" >"$work/h$i.log" 2>&1 &
  pids+=($!)
done

# retry COMMAND... repeats a command until it succeeds, for at most 20 seconds.
retry() {
  for _ in $(seq 100); do
    if "$@" >"$work/out" 2>&1; then cat "$work/out"; return 0; fi
    sleep 0.2
  done
  cat "$work/out" "$work"/h*.log
  return 1
}

echo "== form the control group and apply the configuration"
retry marigoldshuntctl control init h1,h2,h3
retry marigoldshuntctl config apply examples/demo.toml
echo "== six streamed answers through discovery"
retry marigoldshunt-load -hosts 127.0.0.2:7100 -accounts demo:demo-account-credential:2 -pool assistant -requests 6 -duration 10s >"$work/load.json"
grep -o '"\(answered\|requests\|tokens\|incomplete\)": *[0-9]*' "$work/load.json" | sort -u || cat "$work/load.json"
echo "== operator change: engine-1 out and back"
retry marigoldshuntctl upstream out engine-1
retry marigoldshuntctl upstream back engine-1
echo "== timeline, last events"
marigoldshuntctl timeline | tail -12
echo "== summary"
marigoldshuntctl status

echo "== routed services: three hosts form their group, apply examples/routing.toml, find the engine"
export MARIGOLDSHUNTCTL_HOSTS=127.0.1.1:7101,127.0.1.2:7101,127.0.1.3:7101
upstream-emulator -address 127.0.1.10:7200 -engine -service engines -data-centre north -slots 64 -seed 1 >"$work/routed-engine.log" 2>&1 &
pids+=($!)
for i in 1 2 3; do
  mkdir "$work/routed-$i"
  sed "/^control_seeds/! s/127\.0\.1\.1\b/127.0.1.$i/" examples/routed-host.toml >"$work/routed-$i/settings.toml"
  marigoldshuntd -settings "$work/routed-$i/settings.toml" >"$work/routed-h$i.log" 2>&1 &
  pids+=($!)
done
retry marigoldshuntctl config apply examples/routing.toml
retry marigoldshuntctl instances
echo "== 40 streams through discovery of two hosts"
retry marigoldshunt-load routed -discovery 127.0.1.1:7104,127.0.1.2:7104 -data-centre north -host records.example -path /events/ \
  -credential demo-district-credential -workers 8 -requests 5 -output-tokens 60
echo "== the routing document, and one host's metrics"
marigoldshuntctl routing
curl -s http://127.0.1.1:9100/metrics 2>/dev/null | grep 'gateway_\(answered\|first_event\)' || true
