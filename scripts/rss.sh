#!/usr/bin/env bash
# Measures an idle control host (r1) and an idle host without a control role (r2) with
# CONTRACTS contracts and POOLS pools: resident memory and processor time from /proc.
# Usage: scripts/rss.sh CONTRACTS [SECONDS [POOLS]]
set -euo pipefail
cd "$(dirname "$0")/.."
contracts=$1
seconds=${2:-20}
pools=${3:-30}

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

go build -o "$work" ./cmd/marigoldshuntd ./cmd/marigoldshuntctl
export MARIGOLDSHUNTCTL_KEY=marigoldshunt-development-operator
export MARIGOLDSHUNTCTL_HOSTS=127.0.0.41:7101
for i in 1 2; do
  data=none
  [ "$i" = 1 ] && data="$work/data"
  "$work/marigoldshuntd" -host "r$i" -ip "127.0.0.4$i" -data-centre north -data "$data" -control-hosts r1=127.0.0.41 >"$work/log$i" 2>&1 &
  pids+=($!)
done

{
  printf '[[data_centre]]\nname = "north"\n'
  for i in 1 2; do
    printf '[[host]]\nname = "r%d"\ndata_centre = "north"\ncaller_address = "127.0.0.4%d:7100"\n' "$i" "$i"
    printf 'admin_address = "127.0.0.4%d:7101"\npeer_address = "127.0.0.4%d:7102"\n' "$i" "$i"
  done
  printf '[[operator]]\nname = "operations"\nkey_hashes = ["2f766e70865d74d8aebef6a5972672819746cc345bd085f58b8435bce425228b"]\n'
  for i in $(seq "$pools"); do
    printf '[[pool]]\nname = "model-%d"\nkind = "model"\nmax_cost = 4096.0\ndefault_cost = 256.0\n' "$i"
    printf 'profile = { cold_concurrency = 1, max_concurrency = 8, warm_after = 4 }\n'
  done
  for i in $(seq "$contracts"); do
    printf '[[contract]]\naccount = "account-%05d"\nkey_hashes = ["%064x"]\nweight = 1.0\nrequests_per_second = 50.0\nburst = 100\n' "$i" "$i"
    printf 'concurrency = 4\nqueue_length = 64\nmax_body_bytes = 65536\nmax_run = "30s"\nmax_wait = "10s"\npools = ["model-%d"]\n' $((i % pools + 1))
  done
} >"$work/config.toml"

# retry COMMAND... repeats a command until it succeeds, for at most 20 seconds.
retry() {
  for _ in $(seq 100); do
    if "$@" >"$work/out" 2>&1; then return 0; fi
    sleep 0.2
  done
  cat "$work/out" "$work"/log*
  return 1
}
retry "$work/marigoldshuntctl" control init r1
retry "$work/marigoldshuntctl" config apply "$work/config.toml"

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
sleep 3
before=("$(ticks "${pids[0]}")" "$(ticks "${pids[1]}")")
sleep "$seconds"
for i in 0 1; do
  after=$(ticks "${pids[$i]}")
  awk -v h="r$((i + 1))" -v c="$contracts" -v p="$pools" -v t=$((after - before[i])) -v hz="$(getconf CLK_TCK)" -v s="$seconds" \
    '/^Vm(HWM|RSS):/ { v[$1] = $2 } END { printf "%s contracts=%d pools=%d rss=%d KiB peak=%d KiB cpu=%.2f %% of a core\n", h, c, p, v["VmRSS:"], v["VmHWM:"], 100 * t / hz / s }' \
    "/proc/${pids[$i]}/status"
done
