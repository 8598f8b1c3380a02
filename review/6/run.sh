#!/usr/bin/env bash
# One request of legal size in small chunks; the text of its body is run as a request.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
exec target/review-2/cases small-chunks review/6
