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
	CLAIM_TAKE,    /* before dispatch */
	CLAIM_ANSWER,  /* the whole answer; stored for resends */
	CLAIM_UNKNOWN, /* sent, outcome lost */
	CLAIM_RELEASE, /* nothing was sent; the key may be taken again */
} claim_op_t;

typedef enum claim_outcome {
	CLAIM_GRANTED,	   /* TAKE: the caller of TAKE may dispatch once */
	CLAIM_RECORDED,	   /* ANSWER, UNKNOWN, RELEASE are decided */
	CLAIM_IN_PROGRESS, /* TAKE: another request holds the key */
	CLAIM_ANSWERED,	   /* TAKE: stored answer in status and body */
	CLAIM_IS_UNKNOWN,  /* TAKE: an earlier run has an unknown outcome */
	CLAIM_MISMATCH,	   /* TAKE: the key belongs to another request body */
	CLAIM_NOT_TAKEN,   /* the proposal certainly was not decided */
	CLAIM_UNDECIDED,   /* the proposal may or may not be decided */
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
} claim_req_t;

#define CLAIM_BODY_MAX 65536u

typedef struct claim_result {
	uint64_t tag;
	claim_outcome_t outcome;
	int http_status; /* CLAIM_ANSWERED */
	str_t body;	 /* CLAIM_ANSWERED; valid during the call only */
} claim_result_t;

#ifdef __cplusplus
}
#endif
#endif
