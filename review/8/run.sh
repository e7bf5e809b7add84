#!/usr/bin/env bash
# Plays the scenario once; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/main ] && [ -x target/release/chestnut-entry ] || exit 2
exec target/review-2/main weights "review/8/record.txt"
