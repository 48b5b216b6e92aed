#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
check=target/review-2/watch_cut
if [ ! -x target/celerypost ] || [ ! -x "$check" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
end() {
  # The check removes the list when it has killed its gateways.
  if [ -f "$folder/pids" ]; then
    xargs -r kill -9 < "$folder/pids" 2> /dev/null
  fi
  rm -rf "$folder"
}
trap end EXIT
timeout -k 5 100 "$check" review/8/record.txt "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
