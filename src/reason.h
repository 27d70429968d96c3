/*
 * reason.h - the only table of refusal, failure and retry reasons. The enums,
 * the names, the counters, the HTTP statuses and the operators' page are
 * generated from it.
 */
#ifndef DK_REASON_H
#define DK_REASON_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Whether a request that ended with a reason has run at a target. */
typedef enum run_state {
	RUN_NO,	     /* no byte can have reached a target */
	RUN_UNKNOWN, /* it may have run */
	RUN_YES,     /* it ran, wholly or in part */
} run_state_t;

/* Default delay before the caller should retry, in ms; NEVER: it should not. */
#define RETRY_NEVER 0
#define RETRY_SOON 200
#define RETRY_LATER 1000
#define RETRY_MUCH_LATER 5000

/*
 * X(NAME, "name", HTTP status, run_state_t, retry delay, "meaning; remedy")
 *
 * Only a reason with RUN_NO has the status 408, 421, 429 or 503: callers take
 * these as a promise that the request did not run.
 */
#define REFUSAL_REASONS(X)                                                     \
	X(BAD_REQUEST, "bad_request", 400, RUN_NO, RETRY_NEVER,                \
	  "The request is malformed; correct it.")                             \
	X(BODY_TOO_LARGE, "body_too_large", 413, RUN_NO, RETRY_NEVER,          \
	  "The body exceeds limits.body_bytes; send less or raise it.")        \
	X(HEADER_TOO_LARGE, "header_too_large", 431, RUN_NO, RETRY_NEVER,      \
	  "A header exceeds its size limit; shorten it.")                      \
	X(BODY_TIMEOUT, "body_timeout", 408, RUN_NO, RETRY_SOON,               \
	  "The caller did not finish its body in time; check its link.")       \
	X(UNAUTHENTICATED, "unauthenticated", 401, RUN_NO, RETRY_NEVER,        \
	  "No organisation has this token or key; check it.")                  \
	X(FORBIDDEN, "forbidden", 403, RUN_NO, RETRY_NEVER,                    \
	  "The adapter or service belongs to another organisation.")           \
	X(UNKNOWN_ADAPTER, "unknown_adapter", 404, RUN_NO, RETRY_NEVER,        \
	  "No such adapter is decided; publish it or correct the name.")       \
	X(UNKNOWN_VERSION, "unknown_version", 404, RUN_NO, RETRY_NEVER,        \
	  "The adapter has no such version, or it was retired.")               \
	X(UNKNOWN_SERVICE, "unknown_service", 404, RUN_NO, RETRY_NEVER,        \
	  "No such service is decided; add its targets.")                      \
	X(STALE, "stale", 503, RUN_NO, RETRY_SOON,                             \
	  "This daemon has not confirmed its revision; use another address.")  \
	X(LEAVING, "leaving", 503, RUN_NO, RETRY_SOON,                         \
	  "This daemon is draining; use another address.")                     \
	X(RATE_LIMIT, "rate_limit", 429, RUN_NO, RETRY_LATER,                  \
	  "The organisation is over its request rate; slow down or raise it.") \
	X(CONCURRENCY_LIMIT, "concurrency_limit", 429, RUN_NO, RETRY_SOON,     \
	  "The organisation has too many requests in progress.")               \
	X(QUEUE_FULL, "queue_full", 503, RUN_NO, RETRY_LATER,                  \
	  "The queue is at its bound; add targets or lower the load.")         \
	X(CANNOT_BE_ON_TIME, "cannot_be_on_time", 503, RUN_NO, RETRY_LATER,    \
	  "The deadline cannot be met now; come back later or extend it.")     \
	X(DEADLINE_PASSED, "deadline_passed", 504, RUN_NO, RETRY_NEVER,        \
	  "The deadline passed before anything was sent to a target.")         \
	X(NO_TARGET, "no_target", 503, RUN_NO, RETRY_LATER,                    \
	  "No live target serves this base model or service; add targets.")    \
	X(NO_OWNER, "no_owner", 503, RUN_NO, RETRY_SOON,                       \
	  "The target's owner is changing; retry shortly.")                    \
	X(OWNER_UNREACHABLE, "owner_unreachable", 503, RUN_NO, RETRY_SOON,     \
	  "The owner could not be reached and got nothing of the request.")    \
	X(LOAD_FAILED, "load_failed", 503, RUN_NO, RETRY_LATER,                \
	  "The adapter could not be loaded; see the weight store.")            \
	X(TARGET_REFUSED, "target_refused", 503, RUN_NO, RETRY_SOON,           \
	  "The target refused the request and did not run it.")                \
	X(NO_ROUTE, "no_route", 404, RUN_NO, RETRY_NEVER,                      \
	  "No route of the manifest has this host and path.")                  \
	X(NO_MANIFEST, "no_manifest", 503, RUN_NO, RETRY_SOON,                 \
	  "This daemon holds no confirmed manifest yet; use another address.") \
	X(NO_PLACE, "no_place", 503, RUN_NO, RETRY_SOON,                       \
	  "No place at a target was granted in time.")                         \
	X(STREAM_UNKNOWN, "stream_unknown", 503, RUN_NO, RETRY_NEVER,          \
	  "Which software version began the stream is not known; begin anew.") \
	X(STREAM_UNSERVED, "stream_unserved", 503, RUN_NO, RETRY_NEVER,        \
	  "No target has the software version that began the stream any "      \
	  "more; begin anew.")                                                 \
	X(RETRY_BUDGET, "retry_budget", 503, RUN_NO, RETRY_LATER,              \
	  "The service's budget of repeats is spent; nothing has run.")        \
	X(CLAIM_FAILED, "claim_failed", 503, RUN_NO, RETRY_SOON,               \
	  "The call's key could not be claimed; the voters lack a quorum.")    \
	X(KEY_IN_PROGRESS, "key_in_progress", 409, RUN_UNKNOWN, RETRY_LATER,   \
	  "Another request with this key is in progress.")                     \
	X(KEY_REUSED, "key_reused", 422, RUN_NO, RETRY_NEVER,                  \
	  "The key was used with a different request.")                        \
	X(KEY_MISSING, "key_missing", 400, RUN_NO, RETRY_NEVER,                \
	  "A call marked not repeatable needs an Idempotency-Key.")            \
	X(CLAIM_UNKNOWN, "claim_unknown", 504, RUN_UNKNOWN, RETRY_SOON,        \
	  "Whether the key was claimed is not known; resend with the same "    \
	  "key.")                                                              \
	X(OUTCOME_UNKNOWN, "outcome_unknown", 504, RUN_UNKNOWN, RETRY_NEVER,   \
	  "The call was sent and its outcome is lost; check the service.")     \
	X(OWNER_LOST, "owner_lost", 502, RUN_UNKNOWN, RETRY_SOON,              \
	  "The link to the owner was lost after the request was sent.")        \
	X(TARGET_LOST, "target_lost", 502, RUN_UNKNOWN, RETRY_SOON,            \
	  "The target was lost after the request was sent.")                   \
	X(TARGET_STALLED, "target_stalled", 504, RUN_UNKNOWN, RETRY_SOON,      \
	  "The target made no progress within the progress deadline.")         \
	X(TARGET_ERROR, "target_error", 502, RUN_UNKNOWN, RETRY_LATER,         \
	  "The target answered with an error.")                                \
	X(STREAM_TRUNCATED, "stream_truncated", 502, RUN_YES, RETRY_SOON,      \
	  "The stream ended early and could not be resumed.")                  \
	X(DEADLINE_EXCEEDED, "deadline_exceeded", 504, RUN_YES, RETRY_NEVER,   \
	  "The deadline passed while the request was running.")                \
	X(WRONG_VERSION, "wrong_version", 502, RUN_YES, RETRY_SOON,            \
	  "The target answered for another adapter version; not relayed.")     \
	X(CANCELLED, "cancelled", 499, RUN_UNKNOWN, RETRY_NEVER,               \
	  "The caller went away.")                                             \
	X(SLOW_READER, "slow_reader", 499, RUN_YES, RETRY_NEVER,               \
	  "The caller read too slowly; its buffer bound was reached.")         \
	X(SHUTDOWN, "shutdown", 502, RUN_UNKNOWN, RETRY_SOON,                  \
	  "The daemon was told to stop at once.")                              \
	X(PROMPT_QUARANTINED, "prompt_quarantined", 503, RUN_NO, RETRY_NEVER,  \
	  "A part of the prompt crashes targets; leave it out, or release it " \
	  "once the targets are mended.")                                      \
	X(REQUEST_QUARANTINED, "request_quarantined", 503, RUN_NO,             \
	  RETRY_NEVER,                                                         \
	  "The request crashes targets; do not send it again, or release it "  \
	  "once the targets are mended.")                                      \
	X(MEMORY_SHORT, "memory_short", 503, RUN_NO, RETRY_SOON,               \
	  "This host keeps too many request bodies; use another address.")

typedef enum reason {
	REASON_NONE,
#define X(name, str, status, run, retry, help) REASON_##name,
	REFUSAL_REASONS(X)
#undef X
	REASON_COUNT,
} reason_t;

/* X(NAME, "name", "meaning") - why an attempt of a request was retried. */
#define RETRY_REASONS(X)                                                      \
	X(OWNER_UNREACHABLE, "owner_unreachable",                             \
	  "The owner could not be reached; nothing was sent.")                \
	X(OWNER_MOVED, "owner_moved", "The target has another owner now.")    \
	X(TARGET_REFUSED, "target_refused",                                   \
	  "The target refused without running the request.")                  \
	X(LOAD_FAILED, "load_failed", "The load failed; another target.")     \
	X(TARGET_LOST, "target_lost",                                         \
	  "The target was lost; the request is idempotent, nothing relayed.") \
	X(TARGET_STALLED, "target_stalled",                                   \
	  "No progress; the request is idempotent, nothing relayed.")         \
	X(OWNER_LOST, "owner_lost",                                           \
	  "The owner was lost; the request is idempotent, nothing relayed.")  \
	X(RESUMED, "resumed", "A stream was resumed at its offset.")          \
	X(CLAIM_AGAIN, "claim_again", "The claim was proposed again.")        \
	X(TARGET_LEAVING, "target_leaving", "The target is leaving.")         \
	X(ADAPTER_MOVED, "adapter_moved",                                     \
	  "The target gave up its copy; another one has the adapter.")

typedef enum retry_reason {
#define X(name, str, help) RETRY_##name,
	RETRY_REASONS(X)
#undef X
	RETRY_REASON_COUNT,
} retry_reason_t;

/* The row of one refusal or failure reason. */
typedef struct reason_info {
	const char *name;
	int http_status;
	run_state_t run_state;
	uint32_t retry_ms; /* delay before a retry; 0: retrying does not help */
	const char *help;
} reason_info_t;

/* Never NULL; unknown values give the row of REASON_NONE, named "none". */
const reason_info_t *reason_info(reason_t r);
/*
 * The reason itself; or TARGET_LOST in place of one that says that the request
 * has not run, where that is not certain.
 */
reason_t reason_for_run(reason_t r, run_state_t run);
const char *retry_reason_name(retry_reason_t r);
const char *retry_reason_help(retry_reason_t r);
/* "no", "unknown" or "yes". */
const char *run_state_name(run_state_t r);

#ifdef __cplusplus
}
#endif
#endif
