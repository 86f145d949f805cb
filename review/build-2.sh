#!/usr/bin/env bash
# Builds the surroundings that the scripts of cases 6 to 10 start. Run it in the repository's root, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/world ./review/world
