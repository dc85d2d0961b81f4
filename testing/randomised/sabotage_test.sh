#!/bin/bash
# Guards against checks that detect nothing: a randomised run must pass without
# a deliberate fault and fail with each kind of it.
program="$1"
failed=0
"$program" --faults planned --seed 1 --steps 60000 >/dev/null 2>&1 || { echo "run without a deliberate fault: expected to pass, failed"; failed=1; }
for kind in misroute run-twice false-not-run place-on-leaving break-flows revert; do
  if "$program" --faults drain-upstream --seed 1 --steps 60000 --sabotage "$kind" >/dev/null 2>&1; then
    echo "deliberate fault $kind: expected the run to fail, it passed"
    failed=1
  fi
done
exit $failed
