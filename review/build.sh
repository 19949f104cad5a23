#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program: one driver for each case, with the
# project's own stand-ins. Needs only the packages of deploy/system.toml; writes to review/out.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
cmake -S .. -B out/project -DCMAKE_BUILD_TYPE=Release -DFL_PRODUCT_ONLY=ON >out/build.log
cmake --build out/project --target fl -j4 >>out/build.log
packages="libuv libzmq glib-2.0 gio-2.0 yaml-0.1 jansson libxxhash libzstd openssl libh2o"
flags="-std=gnu11 -O2 -g -Wall -Wextra -fno-strict-aliasing -DH2O_USE_LIBUV=1"
flags="$flags -I../include -I../test/testbed -I../test/soak -Istand"
for source in [1-5]/case.c; do
  # shellcheck disable=SC2046,SC2086
  cc $flags $(pkg-config --cflags $packages) -o "out/case-${source%/case.c}" "$source" \
    stand/stand.c ../test/testbed/mock_platform.c ../test/testbed/raw_upstream.c \
    ../test/soak/proxy.c out/project/libfl.a \
    $(pkg-config --libs $packages) -lhttp_parser -lpthread -lm
done
