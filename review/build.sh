#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/. It needs no network and
# no module besides the standard library.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o ../target/review-harness ./harness
