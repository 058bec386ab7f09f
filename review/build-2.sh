#!/bin/sh
# Builds the stand-ins of the second review: the project's store and links, as
# modules.
# Everything else that its scripts start runs from its source.
set -eu
cd "$(dirname "$0")/.."
build() {
  npx --no-install esbuild "platform/src/test/lib/$1.ts" \
    --bundle --platform=node --format=esm --target=node20 \
    --log-level=warning --outfile="target/review-2/$2.mjs"
}
build object-store-stand-in object-store
build link-proxy link-proxy
