#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/masticlead ] && [ -x ../../target/review-harness ] || exit 2
exec ../../target/review-harness deadly ../.. .
