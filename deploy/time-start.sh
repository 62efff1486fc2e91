#!/usr/bin/env bash
# Starts a node by the platform's run line so many times, with a known list of so many workers and discovery down,
# and prints what each start took until the first 200 of /health/ready: real time and CPU time, ms.
# Usage: deploy/time-start.sh WORKERS STARTS. Wants `mvn -q -DskipTests package && deploy/archive-classes.sh` before.
set -euo pipefail
cd "$(dirname "$0")/.."
workers=$1
starts=$2
folder=$(mktemp -d)
node=
trap '[ -z "$node" ] || kill -9 "$node" 2>/dev/null; rm -rf "$folder"' EXIT
line=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
{
  sed '/"known"/,$d' deploy/rehearsal.json
  printf '"known":{"version":1,"full":true,"servers":['
  for ((i = 0; i < workers; i++)); do
    [ "$i" -eq 0 ] || printf ','
    printf '{"id":"s-%d","addr":"127.0.%d.%d:9","zone":"a","kind":"m1","cell":%d,"state":"SERVING","weight":1.0,' \
      "$i" $((1 + i / 250)) $((1 + i % 250)) $((i / 6))
    printf '"started_ms":0}'
  done
  printf ']},\n'
  sed -n '/"settings"/,$p' deploy/rehearsal.json
} >"$folder/config.json"
ticks_ms=$((1000 / $(getconf CLK_TCK)))
for ((run = 0; run < starts; run++)); do
  : >"$folder/log"
  before=$EPOCHREALTIME
  BALANCER_CONFIG=$folder/config.json sh -c "$line" >"$folder/log" 2>&1 &
  node=$!
  port=
  ready=
  while [ -z "$ready" ]; do
    sleep 0.005
    kill -0 "$node" || { cat "$folder/log" >&2; exit 1; }
    [ -n "$port" ] || port=$(sed -n 's/.* listens on .*:\([0-9]*\)$/\1/p' "$folder/log")
    if [ -n "$port" ] && exec 3<>"/dev/tcp/127.0.0.1/$port"; then
      printf 'GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n' >&3
      read -r -t 5 status <&3 || true
      exec 3>&-
      [[ $status != *" 200 "* ]] || ready=yes
    fi
  done
  after=$EPOCHREALTIME
  read -r _ _ _ _ _ _ _ _ _ _ _ _ _ user system _ </proc/"$node"/stat
  echo "$workers workers: $(((${after/./} - ${before/./}) / 1000)) ms, CPU $(((user + system) * ticks_ms)) ms"
  kill -9 "$node"
  wait "$node" 2>/dev/null || true
  node=
done
