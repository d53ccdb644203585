#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
for program in "$root/target/lynxplankd" "$root/review/bin/case2"; do
  if [ ! -x "$program" ]; then
    echo "not built: $program" >&2
    exit 2
  fi
done
exec "$root/review/bin/case2" -root "$root" -record "$here/record.txt"
