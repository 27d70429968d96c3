/*
 * claim.h - claims of idempotency keys in the replicated state. A call that is
 * not idempotent claims its key before it is sent to a target, so that no two
 * requests with the same key both run.
 */
#ifndef DK_CLAIM_H
#define DK_CLAIM_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum claim_op {
	CLAIM_OP_TAKE,	  /* claims the key, before the call is sent */
	CLAIM_OP_ANSWER,  /* stores the complete answer for resends */
	CLAIM_OP_UNKNOWN, /* the call was sent, and its outcome is lost */
	CLAIM_OP_RELEASE, /* the call was not sent; frees the key */
} claim_op_t;

typedef enum claim_outcome {
	CLAIM_GRANTED,	       /* TAKE: the holder may send the call once */
	CLAIM_RECORDED,	       /* ANSWER, UNKNOWN, RELEASE: stored */
	CLAIM_IN_PROGRESS,     /* TAKE: another request holds the key */
	CLAIM_ANSWERED,	       /* TAKE: status and body hold the answer */
	CLAIM_OUTCOME_UNKNOWN, /* TAKE: whether the call ran is not known */
	CLAIM_BODY_MISMATCH,   /* TAKE: the key was used for another body */
	CLAIM_NOT_APPLIED,     /* the operation certainly had no effect */
	CLAIM_MAYBE_APPLIED,   /* the operation may or may not take effect */
} claim_outcome_t;

/*
 * One operation. (org_id, key) identifies the claim. holder is unique to the
 * request that takes it, so that an operation that is sent again gets its own
 * first outcome. Strings are valid during the call only.
 */
typedef struct claim_req {
	uint64_t tag; /* echoed in the result */
	claim_op_t op;
	uint32_t org_id;
	str_t key;
	str_t holder;
	uint64_t body_hash; /* of the request body; detects a reused key */
	int http_status;    /* ANSWER: status of the answer */
	str_t body;	    /* ANSWER: at most CLAIM_BODY_MAX bytes */
	/*
	 * TAKE: how long the claim stays in progress, counted from the time of
	 * its log entry. After that, resends get OUTCOME_UNKNOWN instead of
	 * IN_PROGRESS. 0 means CLAIM_TTL_DEFAULT_MS.
	 */
	uint64_t ttl_ms;
} claim_req_t;

#define CLAIM_BODY_MAX 65536u
#define CLAIM_KEY_MAX 255u
#define CLAIM_HOLDER_MAX 255u
#define CLAIM_TTL_DEFAULT_MS 60000u
#define CLAIM_TTL_MAX_MS 3600000u
/* An answer is kept this long after the last change of its claim. */
#define CLAIM_ANSWER_KEEP_MS 7200000u
/*
 * A key is kept this long after the last change of its claim. Once its answer
 * is no longer kept, only a hash of the key remains, and resends get
 * OUTCOME_UNKNOWN.
 */
#define CLAIM_KEY_KEEP_MS 86400000u
/*
 * Memory limits, per organisation and overall; a TAKE above them is
 * NOT_APPLIED.
 */
#define CLAIM_ORG_BYTES_MAX (6u << 20)
#define CLAIM_TOTAL_BYTES_MAX (12u << 20)

typedef struct claim_result {
	uint64_t tag; /* of the claim_req_t */
	claim_outcome_t outcome;
	int http_status; /* CLAIM_ANSWERED */
	str_t body;	 /* CLAIM_ANSWERED; valid during the call only */
} claim_result_t;

/*
 * The claims of the state machine. All outcomes follow from the order of the
 * log and the times of its entries:
 *
 * - TAKE of a free or released key is GRANTED.
 * - The holder that repeats its TAKE is GRANTED again while the claim is in
 *   progress.
 * - Any other TAKE gets the state of the claim, or BODY_MISMATCH if its request
 *   body differs.
 * - A claim in progress becomes unknown once its time has passed.
 * - ANSWER overrides UNKNOWN, in whichever order the two arrive.
 * - RELEASE works only on a claim whose holder has reported neither ANSWER nor
 *   UNKNOWN. A holder that released the key is never granted it again.
 */
typedef struct claims claims_t;

claims_t *claims_new(void);
void claims_free(claims_t *c);
/*
 * Advances the time to now_ms; an earlier time than the present one is ignored.
 * Expires claims after CLAIM_ANSWER_KEEP_MS and removes what remains of them
 * after CLAIM_KEY_KEEP_MS, both counted from the claim's last change.
 */
void claims_advance_time(claims_t *c, uint64_t now_ms);
uint64_t claims_now_ms(const claims_t *c);
/* Applies one operation. Strings of *res point into req or the claims. */
void claims_apply(claims_t *c, const claim_req_t *req, claim_result_t *res);
/* Number of claims kept whole. */
size_t claims_count(const claims_t *c);
/* Number of expired claims of which only a hash of the key is kept. */
size_t claims_tombstone_count(const claims_t *c);
/*
 * Appends the claims as bytes; the same claims give the same bytes. Load
 * returns NULL if the bytes are corrupt.
 */
void claims_save(const claims_t *c, buf_t *out);
claims_t *claims_load(str_t bytes);

#ifdef __cplusplus
}
#endif
#endif
