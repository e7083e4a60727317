#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir build
flags=(-std=c++20 -O1 -Wall -Wextra -I.. -DBOOST_ASIO_SEPARATE_COMPILATION)
g++ "${flags[@]}" -c world/world.cc -o build/world.o &
for source in [1-5]/case.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" -c "$source" -o "build/case${source%%/*}.o" &
done
echo '#include <boost/asio/impl/src.hpp>' > build/asio.cc
g++ "${flags[@]}" -c build/asio.cc -o build/asio.o
wait
for source in [1-5]/case.cc; do
  [ -e "$source" ] || continue
  number="${source%%/*}"
  g++ "build/case$number.o" build/world.o build/asio.o -o "build/case$number" -lboost_json -pthread
done
