#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. Run it after the build of
# deploy/system.toml; it needs g++ and jsoncpp, which that build needs too.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -I/usr/include/jsoncpp standins/reviewkit.cpp \
  -o bin/reviewkit -ljsoncpp
