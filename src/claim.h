/*
 * claim.h - claims of non-idempotent calls in the decided state: a key is
 * claimed before dispatch and never runs twice.
 */
#ifndef DK_CLAIM_H
#define DK_CLAIM_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum claim_op {
	CLAIM_OP_TAKE,	  /* before dispatch */
	CLAIM_OP_ANSWER,  /* the whole answer; stored for resends */
	CLAIM_OP_UNKNOWN, /* sent, outcome lost */
	CLAIM_OP_RELEASE, /* nothing was sent; the key may be taken again */
} claim_op_t;

typedef enum claim_outcome {
	CLAIM_GRANTED,	       /* TAKE: the caller of TAKE may dispatch once */
	CLAIM_RECORDED,	       /* ANSWER, UNKNOWN, RELEASE are decided */
	CLAIM_IN_PROGRESS,     /* TAKE: another request holds the key */
	CLAIM_ANSWERED,	       /* TAKE: stored answer in status and body */
	CLAIM_OUTCOME_UNKNOWN, /* TAKE: an earlier run has an unknown outcome */
	CLAIM_BODY_MISMATCH, /* TAKE: the key belongs to another request body */
	CLAIM_NOT_APPLIED,   /* the proposal certainly was not decided */
	CLAIM_MAYBE_APPLIED, /* the proposal may or may not be decided */
} claim_outcome_t;

/*
 * One proposal. (org_id, key) names the claim; holder is unique to the
 * request that takes it, so that a proposal sent again gets its own first
 * outcome. Strings are valid during the call only.
 */
typedef struct claim_req {
	uint64_t tag; /* echoed in the result */
	claim_op_t op;
	uint32_t org_id;
	str_t key;
	str_t holder;
	uint64_t body_hash; /* of the request body, to detect reuse of a key */
	int http_status;    /* ANSWER */
	str_t body;	    /* ANSWER: at most CLAIM_BODY_MAX bytes */
	/*
	 * TAKE: when the claim lapses, from the time of its entry; then
	 * resends get IS_UNKNOWN instead of IN_PROGRESS. 0: the default.
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
 * A key is known this long; beyond the time of its answer by a hash only, and
 * its resends get IS_UNKNOWN.
 */
#define CLAIM_KEY_KEEP_MS 86400000u
/* Bounds of memory; a TAKE above them is NOT_TAKEN. */
#define CLAIM_ORG_BYTES_MAX (6u << 20)
#define CLAIM_TOTAL_BYTES_MAX (12u << 20)

typedef struct claim_result {
	uint64_t tag;
	claim_outcome_t outcome;
	int http_status; /* CLAIM_ANSWERED */
	str_t body;	 /* CLAIM_ANSWERED; valid during the call only */
} claim_result_t;

/*
 * The claims of the state machine. Rules, all from the order of the log and
 * the times of its entries:
 *
 * TAKE of a free or released key is GRANTED. The holder that sends its TAKE
 * again is GRANTED again while the claim is in progress. Any other TAKE gets
 * the claim's state, or MISMATCH where its body differs. A claim in progress
 * lapses to unknown once its time has passed. ANSWER goes before UNKNOWN in
 * whatever order they come. RELEASE works only on a claim that its holder has
 * not reported as sent; the released holder is never granted the key again.
 */
typedef struct claims claims_t;

claims_t *claims_new(void);
void claims_free(claims_t *c);
/*
 * Sets the time to now_ms, unless it is later already, and forgets claims
 * beyond their time.
 */
void claims_advance_time(claims_t *c, uint64_t now_ms);
uint64_t claims_now_ms(const claims_t *c);
/* Applies one operation. Strings of *res point into req or the claims. */
void claims_apply(claims_t *c, const claim_req_t *req, claim_result_t *res);
/* Claims kept whole, and those kept by their hash. */
size_t claims_count(const claims_t *c);
size_t claims_spent(const claims_t *c);
/* The same claims give the same bytes. Load gives NULL on corrupt bytes. */
void claims_save(const claims_t *c, buf_t *out);
claims_t *claims_load(str_t bytes);

#ifdef __cplusplus
}
#endif
#endif
