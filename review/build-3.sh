#!/usr/bin/env bash
# Builds the program of the third review's scripts, with its stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/cases ./review/.cases-3
