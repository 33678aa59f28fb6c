"""Header names of the platform's HTTP protocols.

The constants are named after the meaning of the headers in this package.
"""

# Id that the caller gives to one of its attempts; targets repeat it in their replies.
REQUEST_ID = b"x-attempt-id"
# Time, in milliseconds from now, that the sender of the request waits for the reply.
TIMEOUT_MS = b"x-request-deadline"
# Name of the only target that may run the request; others reject it.
EXPECTED_TARGET = b"x-expect-instance"
# The target's signature of its reply.
SIGNATURE = b"x-response-stamp"
# Present if the target did not run the request.
NOT_RUN = b"x-not-executed"
# "1" in the replies of a target that leaves.
LEAVING = b"server-leaving"
# Seconds for which a target that refuses a request wants no other.
PAUSE = b"retry-after"
# Comma-separated signatures of the shards that an answer covers.
SHARD_SIGNATURES = b"X-Part-Stamps"
# Number of shards that an answer does not cover.
MISSING_SHARDS = b"X-Parts-Missing"
