#!/bin/sh
# Builds the stand-ins and drivers of the cases. Needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
