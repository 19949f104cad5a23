#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 and the project's own stand-ins that they link, after the
# build of the deploy file. Everything is put under target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
packages="libuv libzmq glib-2.0 gio-2.0 yaml-0.1 jansson libxxhash libzstd openssl libh2o"
mkdir -p "$out"
read -r -a package_flags <<<"$(pkg-config --cflags $packages)"
read -r -a package_libs <<<"$(pkg-config --libs $packages)"
flags=(-O1 -g -Wall -Iinclude -Isrc -Itest -Itest/testbed -Itest/soak -Ireview/stand-ins-3
  '-DFLAMINGOLATCH="target/flamingolatch"' "${package_flags[@]}")
libs=(target/libfl.a -lhttp_parser "${package_libs[@]}" -lm)
shared=(test/testbed/testbed.c test/testbed/mock_platform.c test/testbed/raw_caller.c
  test/testbed/raw_upstream.c test/soak/proxy.c review/stand-ins-3/common.c
  review/stand-ins-3/translator.c review/stand-ins-3/callers.c)
objects=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .c).o
  gcc "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for source in review/stand-ins-3/*.c; do
  name=$(basename "$source" .c)
  case $name in common | translator | callers) continue ;; esac
  gcc "${flags[@]}" "$source" "${objects[@]}" "${libs[@]}" -o "$out/$name"
done
