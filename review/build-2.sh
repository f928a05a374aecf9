#!/bin/bash
# Builds the programs of the second review, review/stand-2/*.cpp, into build/review-2/. Needs a C++20 compiler and
# nothing else. The cases start the router that the line `build` of the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/stand-2/*.cpp; do
    program=build/review-2/$(basename "$source" .cpp)
    echo "$program"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
done
