#!/usr/bin/env bash
# Checks formatting and runs the linter over every source.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
# The linter cannot read the compiler's precompiled headers.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
git ls-files '*.cc' | grep -v '^tests/' |
  xargs -P 8 -n 1 clang-tidy -p build-lint --quiet --warnings-as-errors='*'
echo "lint: clean"
