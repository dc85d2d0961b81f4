#!/bin/bash
# Starts eight instances of the platform's daemon in four zones, with the
# command of the deploy file, and runs a scenario against them.
#
#   run-deployment.sh SCENARIO RECORD
#
# a1, b1 and c1 start first. Ends with the status of the stand-ins: 0 if the
# rule held, 1 if it was broken, 2 if the run was not valid.
set -uo pipefail
scenario="$(realpath "$1")" record="$(realpath -m "$2")"
cd "$(dirname "$0")/../.."
daemon=target/platform/sassafrasknotd
stand_ins=target/review-2/deployment
[ -x "$daemon" ] && [ -x "$stand_ins" ] || exit 2
folder="$(mktemp -d)"
network=$((64 + $$ % 180))
pids=()
stop() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap stop EXIT
trap 'exit 2' INT TERM

"$stand_ins" "$network" "$folder" "$scenario" "$record" &
stand_ins_pid=$!
pids+=("$stand_ins_pid")
sleep 0.3
number=0
declare -A numbers
for name in a1 a2 b1 b2 c1 c2 d1 d2; do
  number=$((number + 1))
  numbers[$name]=$number
done
seeds="\"127.$network.1.1:8166\", \"127.$network.1.3:8166\", \"127.$network.1.5:8166\""
: >"$folder/starting"
for name in a1 b1 c1 a2 b2 c2 d1 d2; do
  zone="${name%[0-9]}" address="127.$network.1.${numbers[$name]}"
  cat >"$folder/$name.json" <<EOF
{
  "node_name": "edge-$name", "role": "instance", "machine_class": "edge",
  "serves": ["edge", "control_plane"], "ip": "$address", "zone": "$zone",
  "region": "r", "zones": {"a": "r", "b": "r", "c": "r", "d": "r"},
  "listen": {"datagram_addr": "$address:8172", "readiness": "$address:8167",
             "admin": "$address:8166"},
  "internal_ports": [7720, 7735], "seeds": [$seeds], "bootstrap": true,
  "loss_counts": false,
  "limits": {"cpu_share": 0.055, "cpu_cores": 1, "memory_mb": 260,
             "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
  "data_dir": null, "discovery": "platform", "entry": "announce",
  "heartbeat_ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
  "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
  "bounds": {"seed_lag_s": 3, "reuse_delay_s": 2, "stable_window_ms": 4000,
             "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000,
             "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
             "rollback_slack_ms": 250, "max_stretch_ms": 12000,
             "recovery_s": 12, "flow_ms": 2000, "max_flow_s": 60},
  "hash": "mod", "forwarding": "echo",
  "platform": {"address": "127.$network.5.${numbers[$name]}:8169",
               "forwarding": "read", "writes_per_s": 400, "reads_per_s": 2000,
               "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}
}
EOF
  SASSAFRASKNOT_BOOT="$folder/$name.json" "$daemon" >"$folder/$name.log" 2>&1 &
  pids+=($!)
  echo "$name $zone $address $!" >>"$folder/starting"
  sleep 0.03
done
mv "$folder/starting" "$folder/instances.txt"
wait "$stand_ins_pid"
status=$?
pids=("${pids[@]:1}")
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"
exit "$status"
