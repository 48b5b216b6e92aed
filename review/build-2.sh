#!/usr/bin/env bash
# Builds the stand-ins and the check of review/8 with the packages of the deploy
# file, into target/review-2. Those of review/6 and review/7 are Python.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=(review/standins-2/http_message.cc review/standins-2/platform_store.cc
  review/standins-2/replica.cc review/standins-2/deployment.cc
  review/standins-2/callers.cc)
for check in watch_cut; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I . \
    -o "target/review-2/$check" "review/standins-2/$check.cc" "${sources[@]}"
done
