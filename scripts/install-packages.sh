#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when all are present.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
done < scripts/packages.txt
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
