#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, with the libraries that the build of the deploy file leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Ipackages -I. -Itests -Ireview/standins-2)
libraries=(
  target/platform/libplatform.a target/packages/protocol/libprotocol.a target/packages/coordination/libcoordination.a
  target/packages/transport/libtransport.a target/packages/state/libstate.a
)
packages=(absl_strings absl_time absl_hash absl_flat_hash_map absl_random_random libxxhash libsodium)
common=(tests/platform/enginestandin.cpp)
for source in "${common[@]}"; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" "$source" "$out/enginestandin.o" -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    $(pkg-config --cflags --libs "${packages[@]}") -pthread -o "$out/$name" &
done
wait
for source in review/standins-2/*.cpp; do
  test -x "$out/$(basename "$source" .cpp)"
done
