#!/usr/bin/env bash
# Runs the case; TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and build-2.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -e classes/Case.class ] && [ -e ../../target/gladewing.jar ] || exit 2
exec java -Xmx256m -cp classes Case "$PWD"
