#!/usr/bin/env bash
# Runs the build command of the deploy file on a small project in build folders
# that were carried over. Usage: configure_test.sh SOURCE_DIR
# Guards against a program of earlier sources that is taken for the current one
# (docs/incidents/stale-build.md).
set -euo pipefail
root=$1
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export CCACHE_DISABLE=1

write_project() { # FOLDER TEXT
  mkdir -p "$1/src" "$1/tools"
  cp "$root/tools/configure" "$1/tools/"
  cat >"$1/CMakeLists.txt" <<'PROJECT'
cmake_minimum_required(VERSION 3.25)
project(carried_over LANGUAGES CXX)
add_executable(celerypost src/main.cc)
PROJECT
  printf '#include <cstdio>\nint main() { std::puts("%s"); }\n' "$2" >"$1/src/main.cc"
  # As an archive with fixed times lays them out.
  find "$1/CMakeLists.txt" "$1/src" "$1/tools" -exec touch -d '2020-01-01' {} +
}

build() { # FOLDER
  (cd "$1" && bash -c "$command") >"$folder/log" 2>&1 || {
    cat "$folder/log"
    return 1
  }
}

failed=0
expect() { # CASE TEXT FOLDER
  local printed
  printed=$("$3/target/celerypost" 2>/dev/null) || printed="no program"
  if [ "$printed" != "$2" ]; then
    echo "FAILED $1: the program prints '$printed', expected '$2'"
    failed=1
  fi
}

write_project "$folder/a" first
build "$folder/a"
expect "first build" first "$folder/a"

write_project "$folder/a" second
build "$folder/a"
expect "new sources that are older than the objects" second "$folder/a"

cp -a "$folder/a" "$folder/b"
write_project "$folder/b" third
build "$folder/b" || true
expect "build folder of another place" third "$folder/b"

before=$(stat -c %y "$folder/b/target/celerypost")
build "$folder/b"
if [ "$(stat -c %y "$folder/b/target/celerypost")" != "$before" ]; then
  echo "FAILED second build: a program of the same sources was built again"
  failed=1
fi

write_project "$folder/b" 'broken");'
build "$folder/b" >/dev/null && { echo "FAILED broken sources: the build passed"; failed=1; }
expect "sources that do not compile" "no program" "$folder/b"

exit "$failed"
