#!/bin/bash
# Guards against checks of the soak that no longer find anything: each kind of
# deliberate fault must make its run fail with a violation of the expected rule.
set -euo pipefail
soak="$1" daemon="$2"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
find_fault() { # KIND RULE SEED [OPTION...]
  if "$soak" --seed "$3" --seconds 8 --daemon "$daemon" --folder "$work/$1" --sabotage "$1" \
    "${@:4}" >"$work/$1.txt" 2>&1; then
    echo "$1: not found" && return 1
  fi
  grep -q "^  $2 at" "$work/$1.txt" || { echo "$1: not reported as $2" && cat "$work/$1.txt" && return 1; }
}
# Seed 9 for drain: in the plan of seed 3, the leaving upstream is in a data
# centre that is evacuated, so that it receives no flow in any case.
pids=()
while read -r kind rule seed options; do
  # shellcheck disable=SC2086 # several options
  find_fault "$kind" "$rule" "$seed" $options &
  pids+=($!)
done <<'KINDS'
config CONFIG 6
drain DRAIN 9
ends ENDS 3
evacuate EVACUATE 3 --faults evacuate
mixed MIXED 3
not-run NOT-RUN 3
recover RECOVER 3
reset FLOW 3
route ROUTE 3
silence FLOW 3 --faults silence-upstreams
twice TWICE 3
unasked UNASKED 3
KINDS
failed=0
for pid in "${pids[@]}"; do wait "$pid" || failed=1; done
exit "$failed"
