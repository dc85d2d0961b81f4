#!/bin/bash
# Each deliberate fault must make the randomised run fail, or its check could
# never find anything.
program="$1"
failed=0
"$program" --faults planned --seed 1 --steps 60000 >/dev/null 2>&1 || { echo "run without a deliberate fault failed"; failed=1; }
for kind in misroute run-twice false-not-run place-on-leaving break-flows revert; do
  if "$program" --faults drain-upstream --seed 1 --steps 60000 --sabotage "$kind" >/dev/null 2>&1; then
    echo "deliberate fault $kind was not found"
    failed=1
  fi
done
exit $failed
