#!/usr/bin/env bash
# Plays the regression set on the users' bench and prints each day beside its last landed figure.
# Usage: tools/regression.sh BENCH SITE_FOLDER [--update]
set -euo pipefail
bench=$1
sites=$2
root=$(cd "$(dirname "$0")/.." && pwd)
landed=$root/docs/regression.tsv
played=$(mktemp)
trap 'rm -f "$played"' EXIT
set_of_sites=(large/crp-raccolta-large further/talabarte-visitas further-grown/talabarte-visitas-grown
  grown/crp-raccolta-grown grown/aicwdn-coldlink-grown)
cd "$root"
for site in "${set_of_sites[@]}"; do
  output=$("$bench" score "$sites/$site.toml" --jobs 3 --why "regression set")
  grep -E '^GATE|broken' <<< "$output" || true
  awk -v site="${site##*/}" '$2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh/ {print site "\t" $1 "\t" $4}' \
    <<< "$output" >> "$played"
done
awk -F'\t' 'BEGIN {printf "%-28s %-12s %8s %8s %8s\n", "site", "day", "landed", "now", "change"}
  NR == FNR {before[$1 FS $2] = $3; next}
  {old = before[$1 FS $2]
   printf "%-28s %-12s %8s %8.3f %8s\n", $1, $2, old, $3, old == "" ? "" : sprintf("%+.3f", $3 - old)}' \
  "$landed" "$played"
if [ "${3:-}" = --update ]; then
  cp "$played" "$landed"
fi
