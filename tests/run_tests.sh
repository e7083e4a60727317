#!/usr/bin/env bash
# Runs every test. Tests named in KNOWN-RED.txt run apart: their failure is printed and passed over.
set -uo pipefail
build=$1
root=$(cd "$(dirname "$0")/.." && pwd)
red=$(sed -n 's/^test: *//p' "$root/KNOWN-RED.txt" 2>/dev/null | paste -sd'|' -)
exclude=()
if [ -n "$red" ]; then
  exclude=(-E "^($red)\$")
fi
ctest --test-dir "$build" --output-on-failure --timeout 240 -j6 "${exclude[@]}" || exit 1
if [ -n "$red" ]; then
  echo "known red, passed over:"
  cat "$root/KNOWN-RED.txt"
  ctest --test-dir "$build" --timeout 240 -R "^($red)\$" || true
fi
