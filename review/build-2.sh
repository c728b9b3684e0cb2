#!/usr/bin/env bash
# Builds the stand-ins of the second review into build-review-2/. Needs only g++ and jsoncpp, which
# the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I/usr/include/jsoncpp)
g++ "${flags[@]}" -c review/standins-2/Harness.cpp -o "$out/Harness.o"
for source in review/standins-2/*Case.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" "$source" "$out/Harness.o" -ljsoncpp -lpthread -o "$out/$name"
done
