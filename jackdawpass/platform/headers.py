"""Headers of the platform's HTTP interfaces, named for what they hold."""

# The caller's id of one attempt; targets repeat it in their replies.
REQUEST_ID = b"x-attempt-id"
# Milliseconds that the sender of the request will wait, from now.
PATIENCE_MS = b"x-request-deadline"
# Name of the only target that may run the request.
ONLY_TARGET = b"x-expect-instance"
# The target's signature of its reply.
SIGNATURE = b"x-response-stamp"
# Present when the target did not run the request.
NOT_RUN = b"x-not-executed"
# Signatures of the shards that an answer covers, separated by commas.
SHARD_SIGNATURES = b"X-Part-Stamps"
# Number of shards that an answer does not cover.
SHARDS_MISSING = b"X-Parts-Missing"
