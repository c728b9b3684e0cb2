#!/usr/bin/env bash
# Builds the stand-ins of the third review into build-review-3/. Needs only g++ and jsoncpp, which
# the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I/usr/include/jsoncpp)
g++ "${flags[@]}" -c review/standins-3/Kit.cpp -o "$out/Kit.o"
for source in review/standins-3/*Case.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" "$source" "$out/Kit.o" -ljsoncpp -lpthread -o "$out/$name"
done
