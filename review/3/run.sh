#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/classes/UnreadableText.class ] && [ -f target/gladewing.jar ] || exit 2
timeout 110 java -Xmx1g -cp review/classes UnreadableText . review/3/record.txt
status=$?
[ $status -gt 2 ] && exit 2
exit $status
