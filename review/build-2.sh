#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-standin-2 ./review/standin-2
