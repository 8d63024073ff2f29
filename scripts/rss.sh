#!/usr/bin/env bash
# Measures one idle daemon with the embedded settings and a configuration of CONTRACTS
# contracts and 30 pools: resident memory and processor time from /proc.
# Usage: scripts/rss.sh CONTRACTS [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
contracts=$1
seconds=${2:-20}

work=$(mktemp -d)
pid=
cleanup() {
  if [ -n "$pid" ]; then
    kill "$pid" 2>/dev/null || true
    sleep 0.3
    # A second signal ends a graceful shutdown early.
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  fi
  rm -rf "$work"
}
trap cleanup EXIT

go build -o "$work" ./cmd/marigoldshuntd ./cmd/marigoldshuntctl
export MARIGOLDSHUNTCTL_KEY=marigoldshunt-development-operator
export MARIGOLDSHUNTCTL_HOSTS=127.0.0.41:7101
"$work/marigoldshuntd" -host r1 -ip 127.0.0.41 -data-centre north -data "$work/data" -control-hosts r1=127.0.0.41 >"$work/log" 2>&1 &
pid=$!

{
  printf '[[data_centre]]\nname = "north"\n[[host]]\nname = "r1"\ndata_centre = "north"\n'
  printf 'caller_address = "127.0.0.41:7100"\nadmin_address = "127.0.0.41:7101"\npeer_address = "127.0.0.41:7102"\n'
  printf '[[operator]]\nname = "operations"\nkey_hashes = ["2f766e70865d74d8aebef6a5972672819746cc345bd085f58b8435bce425228b"]\n'
  for i in $(seq 30); do
    printf '[[pool]]\nname = "model-%d"\nkind = "model"\nmax_cost = 4096.0\ndefault_cost = 256.0\n' "$i"
    printf 'profile = { cold_concurrency = 1, max_concurrency = 8, warm_after = 4 }\n'
  done
  for i in $(seq "$contracts"); do
    printf '[[contract]]\naccount = "account-%05d"\nkey_hashes = ["%064x"]\nweight = 1.0\nrequests_per_second = 50.0\nburst = 100\n' "$i" "$i"
    printf 'concurrency = 4\nqueue_length = 64\nmax_body_bytes = 65536\nmax_run = "30s"\nmax_wait = "10s"\npools = ["model-%d"]\n' $((i % 30 + 1))
  done
} >"$work/config.toml"

# retry COMMAND... repeats a command until it succeeds, for at most 20 seconds.
retry() {
  for _ in $(seq 100); do
    if "$@" >"$work/out" 2>&1; then return 0; fi
    sleep 0.2
  done
  cat "$work/out" "$work/log"
  return 1
}
retry "$work/marigoldshuntctl" control init r1
retry "$work/marigoldshuntctl" config apply "$work/config.toml"

ticks() { awk '{ print $14 + $15 }' "/proc/$pid/stat"; }
sleep 3
before=$(ticks)
sleep "$seconds"
after=$(ticks)
awk -v c="$contracts" -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" -v s="$seconds" \
  '/^Vm(HWM|RSS):/ { v[$1] = $2 } END { printf "contracts=%d rss=%d KiB peak=%d KiB cpu=%.2f %% of a core\n", c, v["VmRSS:"], v["VmHWM:"], 100 * t / hz / s }' \
  "/proc/$pid/status"
