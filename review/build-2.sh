#!/bin/sh
# Builds the stand-ins and players of the cases 6 to 10 into target/review-second. It needs the
# standard library only, and no network.
set -e
cd "$(dirname "$0")/second"
go build -o ../../target/review-second .
