#!/bin/sh
# Fails if a name of the users' platform is used in Source: only platform/ and its tests may use these names.
set -u
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Prompt-Prefix|X-Token-Usage|X-Expected-Instance|X-Not-Executed|X-Server-Signature|X-Deadline-Ms|X-Length-Hint|api/(kv-|report|order|picked|readyz)|RAMPGAP_NODE_FILE|op/config|path_prefix|expert_fraction|session_affinity|kv_capacity_tokens'
if grep -rnE "$names" Source; then
    echo "check-names: these names belong in platform/ only; decode them there" >&2
    exit 1
fi
echo "check-names: clean"
