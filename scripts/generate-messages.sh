#!/usr/bin/env bash
# Regenerates the code of the messages between daemons from their schemas. The build uses the committed files and
# needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../packages"
(cd peer && capnp compile -oc++:generated --src-prefix=schema schema/peer.capnp)
(cd sharing && capnp compile -oc++:generated --src-prefix=schema schema/beacon.capnp)
