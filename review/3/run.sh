#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/platform/pollenreel_entry ] || exit 2
TROUBLE=${TROUBLE:-1} exec target/review/case-3 review/3
