#!/usr/bin/env bash
# Plays what a landing needs and prints rows for docs/hunts.md: a score of each site, then a hunt with fresh seeds. The
# newest sites stand for the older ones.
#
#   BENCH=program SITES=folder [JOBS=3] [WHY=text] deploy/regress.sh [site...]
#
# BENCH is the users' bench, SITES the folder that holds the folders of their site files.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?the path of the bench}" "${SITES:?the folder of the site files}"
jobs=${JOBS:-3}
why=${WHY:-regression runs}
commit=$(git rev-parse --short HEAD)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# Site file, and days of a hunt: 40, or 8 on sites of 60 instances and more.
all=(
  "further/klammer-route.toml 40"
  "further-grown/klammer-route-grown.toml 8"
  "grown/rayuela-uio-grown.toml 8"
  "grown/tapfinder-amman-grown.toml 8"
  "large/tapfinder-amman-large.toml 8"
)

status=0
for entry in "${all[@]}"; do
  read -r file days <<<"$entry"
  name=$(basename "$file" .toml)
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  "$BENCH" score "$SITES/$file" --jobs "$jobs" --why "$why: score at $commit" >"$out/score" || status=1
  "$BENCH" hunt "$SITES/$file" --days "$days" --jobs "$jobs" --why "$why: hunt at $commit" >"$out/hunt" || status=1
  gate=$(grep -m1 '^GATE' "$out/score" || echo "no gate")
  worths=$(awk '/^(quiet|trouble|scale)-/ {printf " %s |", $4}' "$out/score")
  echo "| $name | $commit | $gate |$worths"
  echo "| $(date +%F) | $commit | $name | $days days | $(grep -c BROKEN "$out/hunt" || true) broken |"
  if [ "$gate" != "GATE passed" ]; then status=1; fi
done
exit $status
