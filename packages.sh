#!/usr/bin/env bash
# Installs what the build and the tests need, from Debian's packages.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy
  librestinio-dev libhttp-parser-dev libfmt-dev libboost1.81-dev libboost-json1.81-dev
  libboost-program-options1.81-dev liblog4cplus-dev prometheus-cpp-dev libssl-dev libxxhash-dev
  libsqlite3-dev libgtest-dev libgmock-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
