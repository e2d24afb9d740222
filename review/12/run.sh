#!/bin/sh
# Needs target/masticrill and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/masticrill ] && [ -x target/review-2/cold_return ] || exit 2
exec target/review-2/cold_return review/12/record.txt
