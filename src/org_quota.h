/*
 * org_quota.h - quotas of organisations over all daemons: a token bucket for each,
 * kept by the dispatcher, which sees every request. A bucket starts nearly empty, as
 * an earlier dispatcher may just have used it up; so no window has more than the quota
 * and its tolerance, whichever dispatchers grant it. Not thread-safe.
 */
#ifndef DK_ORG_QUOTA_H
#define DK_ORG_QUOTA_H

#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct org_quotas org_quotas_t;
typedef struct org_bucket org_bucket_t;

/* By how much the use of a quota within a window may exceed it. */
typedef struct quota_tolerance {
	double window_s;
	double excess; /* part of what the quota allows within the window */
	double slack;  /* in addition */
} quota_tolerance_t;

typedef struct quota_request {
	uint64_t id;
	str_t org;	     /* empty: none */
	uint32_t tokens;     /* of the prompt and, at most, the output */
	int64_t wait_max_us; /* longest wait that it accepts; 0 or less: none */
	/*
	 * An earlier attempt may have run. Such a request is not refused, as its
	 * caller could not be told that it has not run.
	 */
	bool may_have_run;
} quota_request_t;

/* What a request took; valid until org_quotas_begin(). Zeroed: nothing. */
typedef struct quota_charge {
	org_bucket_t *bucket;
	double amount;
} quota_charge_t;

org_quotas_t *org_quotas_new(const quota_tolerance_t *tolerance);
void org_quotas_free(org_quotas_t *q);
/*
 * Forgets what was taken. This dispatcher may use share of each quota; burst:
 * and the same share of what an organisation may use at once. seed: for random
 * draws, another one for each daemon and term.
 */
void org_quotas_begin(org_quotas_t *q, double share, bool burst, uint64_t seed);
/* NULL: no quotas. Takes its own reference. */
void org_quotas_set_manifest(org_quotas_t *q, manifest_t *m);
/*
 * Only for the leader's dispatcher: sets its share by the live hosts, as those that
 * were lost lately may dispatch for themselves.
 */
void org_quotas_set_live_hosts(org_quotas_t *q, size_t n, int64_t now_us);

/*
 * Takes what the request costs. Returns how long it has to wait until that is
 * there, at most wait_max_us; or -1: nothing was taken, and *retry_us is when there
 * will be room.
 */
int64_t org_quota_take(org_quotas_t *q, const quota_request_t *req,
		       int64_t now_us, quota_charge_t *charge,
		       int64_t *retry_us);
/* The request has not run and will not. */
void org_quota_return(quota_charge_t *charge);

#ifdef __cplusplus
}
#endif
#endif
