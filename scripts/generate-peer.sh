#!/usr/bin/env bash
# Regenerates packages/peer/generated from the schema. The build uses the committed files and needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../packages/peer"
capnp compile -oc++:generated --src-prefix=schema schema/peer.capnp
