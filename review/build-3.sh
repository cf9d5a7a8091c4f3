#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. Run it after the build line
# of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-standin-3 ./review/standin-3
