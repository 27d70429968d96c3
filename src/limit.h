/*
 * limit.h - limits of organisations over the whole system, and retry budgets.
 *
 * A fifth of each limit is split evenly over all hosts and always usable; the
 * rest is leased by the leading daemon to where the demand is. What a holder
 * may use is counted in full until it has confirmed a smaller share or the
 * lease has run out, so that the sum never exceeds the limit.
 */
#ifndef DK_LIMIT_H
#define DK_LIMIT_H

#include <glib.h>
#include <pthread.h>
#include <urcu/list.h>

#include "decided.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SHARE_LEASE_US (2 * USEC_PER_SEC)
#define SHARE_ASK_PERIOD_US (250 * USEC_PER_MSEC)

/* The two limits that are shared. */
typedef enum share_dim {
	SHARE_RATE, /* requests for each 1,000 s */
	SHARE_CONCURRENCY,
	SHARE_DIMS,
} share_dim_t;

typedef enum limit_verdict {
	LIMIT_ADMITTED,	   /* counted until limits_release() */
	LIMIT_AWAIT_SHARE, /* no share is leased yet; ask again shortly */
	LIMIT_OVER_RATE,
	LIMIT_OVER_CONCURRENCY,
} limit_verdict_t;

/* One daemon's use of the limits. Takes its own lock, a leaf. */
typedef struct limits {
	pthread_mutex_t lock;
	GHashTable *orgs;    /* org -> use_t */
	double retry_tokens; /* of this host */
	uint64_t seq;	     /* newest grant in force */
	uint64_t term;	     /* of the leader that made it */
} limits_t;

void limits_init(limits_t *l);
void limits_free(limits_t *l);
/* Admits one request; hosts is the number of decided hosts. */
limit_verdict_t limits_admit(limits_t *l, const org_t *org, size_t hosts,
			     int64_t now);
void limits_release(limits_t *l, uint32_t org);
/* Takes one retry from the budgets of the organisation and of the host. */
bool limits_take_retry(limits_t *l, const org_t *org);

/* Demand of one organisation, and the share it was given. */
typedef struct share {
	uint32_t org;
	uint64_t amount[SHARE_DIMS];
} share_t;

/*
 * Demand to tell the leader, ascending by organisation; NULL and 0 where
 * nothing is limited. The caller frees it. *confirmed is the newest grant that
 * is in force here.
 */
share_t *limits_collect_demand(limits_t *l, const decided_t *d, int64_t now,
			       size_t *n, uint64_t *confirmed);
/* Shares granted for a demand that was sent at asked_us. */
void limits_apply_grant(limits_t *l, const share_t *v, size_t n, uint64_t term,
			uint64_t seq, int64_t asked_us);

/* The leader's side; the caller locks. */
typedef struct share_pool {
	GHashTable *orgs; /* org -> holders, a list */
	uint64_t next_seq;
	int64_t no_grants_until_us; /* shares of an earlier leader may be in use */
} share_pool_t;

void share_pool_init(share_pool_t *p);
void share_pool_free(share_pool_t *p);
/* Starts a term of leading. */
void share_pool_begin_term(share_pool_t *p, int64_t now);
/*
 * Answers the demand of one host, in place: v becomes the shares. Returns the
 * number of this grant; 0 where nothing is granted yet.
 */
uint64_t share_pool_ask(share_pool_t *p, const decided_t *d, host_id_t host,
			uint64_t confirmed, share_t *v, size_t n, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
