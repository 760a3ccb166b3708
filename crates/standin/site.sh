#!/usr/bin/env bash
# Starts a small site on the loopback: a control host, two balancers, two
# upstreams with an agent each, and the fabric. Ctrl-C ends it.
# Usage: crates/standin/site.sh, after cargo build --release
set -euo pipefail
cd "$(dirname "$0")/../../target/release"
data=$(mktemp -d)
control=127.0.1.1:7000
trap 'kill $(jobs -p) 2>/dev/null; wait; rm -rf "$data"' EXIT

export LIMPET_LOG=warn
./limpetd control --listen "$control" --data-dir "$data" --group "$control" &
for n in 1 2; do
  ./limpetd balancer --host "lb$n" --data-centre dc1 --control "$control" \
    --fabric-listen "127.0.2.$n:7101" --return-listen "127.0.2.$n:7100" &
  echo "balancer lb$n has process id $!"
  ./standin upstream --name "app$n" --listen "127.0.3.$n:8080" &
  ./limpetd agent --host "app$n" --data-centre dc1 --control "$control" --service shop \
    --upstream "127.0.3.$n:8080" --data-listen "127.0.3.$n:7200" --peer-listen "127.0.3.$n:7201" &
done
./standin fabric --service 127.0.4.1:4433 --balancers 127.0.2.1:7101,127.0.2.2:7101 &

operator=(./limpetctl --control "$control" --operator me)
"${operator[@]}" service create shop --address 127.0.4.1:4433
"${operator[@]}" target set shop default --carry 4 --wait
echo "The service answers in a few seconds: limpetctl call https://127.0.4.1:4433/ --insecure"
wait
