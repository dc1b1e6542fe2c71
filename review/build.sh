#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review/. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers -Ireview/common \
        -o "target/review/case-$number" "$source"
done
