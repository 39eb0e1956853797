#!/usr/bin/env bash
# Plays the script reused-address. Exit status: 1 if the rule was broken, 0 if it held, 2 if the script could not run.
# TROUBLE=0 leaves the disruption out; the stand-in reads it.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/hornbeam-node ] && [ -x target/standin-3 ] || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
exec target/standin-3 -node target/hornbeam-node -now "$(date +%s%3N)" -record "$folder/record.txt" reused-address
