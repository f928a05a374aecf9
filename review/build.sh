#!/bin/bash
# Builds the stand-ins and drivers of all cases into build/review/. Needs g++ alone; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]/*.cpp review/seen/*.cpp; do
    [[ -e $source ]] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/$(basename "$source" .cpp)" "$source" &
    built+=($!)
done
for one in "${built[@]}"; do wait "$one"; done
