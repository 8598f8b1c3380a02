#!/usr/bin/env bash
# Requests of some 300 bytes that name very many pieces end the processes of entry machines.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
exec target/review-2/cases pieces-count review/7
