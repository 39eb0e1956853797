#!/bin/sh
# Builds the stand-ins of the cases. Run it from any folder; it needs the Go toolchain only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
