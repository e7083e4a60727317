#!/usr/bin/env bash
# Checks formatting and runs the linter over every source.
set -euo pipefail
build=$1
cd "$(dirname "$0")/.."
git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
git ls-files '*.cc' | grep -v '^tests/' |
  xargs -P 8 -n 1 clang-tidy -p "$build" --quiet --warnings-as-errors="*" 2>/dev/null
