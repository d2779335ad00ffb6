#!/usr/bin/env bash
# The platform's names for fields, paths and headers, and the wording of its pages, stay out of src/: platform/ decodes them.
set -euo pipefail
cd "$(dirname "$0")/.."
wire='run-start|run-stop|/v1/|log-append|log-read|log-newest|log-join|log-leave|log-owners|machine-move|machine-upkeep'
wire="$wire|fencing-token|est-runtime-ms|may_miss|target_ms|same-rack|anti-affinity|long-running|start-delay-ms|repeat-count"
wire="$wire|X-Target-Instance|X-Lease-Holder|X-Fencing-Token|X-Deadline-Ms|path-prefix|admission-check|expiry-ms|last-seen"
wire="$wire|wait-ms|clock-ms|tls-key|call-seq|ttl_ms|mem-mb|remaining-ms|page-token|next-token|duration-s|keyed\\.(op|servers|status)"
pages='payoff|lifetime|disturbance|liveness report|fence number|time limit for deadline|usage cap|minion'
if git grep -nE "$wire" -- src ':!src/generated'; then
	echo "names of the platform's interface outside platform/"
	exit 1
fi
if git grep -niE "$pages" -- src platform ':!src/generated'; then
	echo "wording of the platform's pages in the code"
	exit 1
fi
echo "words: clean"
