#!/usr/bin/env bash
# A part that crashes runners, in a prompt of 40 parts, keeps on crashing them.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
exec target/review-2/cases long-prompt review/8
