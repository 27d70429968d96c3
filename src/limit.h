/*
 * limit.h - rate and concurrency limits of organisations over the whole system,
 * and retry budgets.
 *
 * A fifth of each limit is split evenly over all hosts, and each host may
 * always use its part. The leading daemon leases the rest to the hosts that
 * have the demand. It counts what a host may use in full until that host has
 * confirmed a smaller share or its lease has run out, so that the sum of all
 * shares never exceeds the limit.
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

/* A leased share may be used for this long after it was asked for. */
#define SHARE_LEASE_US (2 * USEC_PER_SEC)
/* Each daemon sends its demand to the leader this often. */
#define SHARE_ASK_PERIOD_US (250 * USEC_PER_MSEC)

/* The limits that are shared out to hosts. */
typedef enum share_dim {
	SHARE_RATE,	   /* in requests per 1,000 s */
	SHARE_CONCURRENCY, /* requests admitted and not released */
	SHARE_DIMS,
} share_dim_t;

typedef enum limit_verdict {
	LIMIT_ADMITTED,	   /* counts as running until limits_release() */
	LIMIT_AWAIT_SHARE, /* no lease is in force yet; retry soon */
	LIMIT_OVER_RATE,
	LIMIT_OVER_CONCURRENCY,
} limit_verdict_t;

/* One daemon's use of the limits. Functions take its lock, which is a leaf. */
typedef struct limits {
	pthread_mutex_t lock;
	GHashTable *orgs;    /* org -> org_usage_t */
	double retry_tokens; /* of this host */
	uint64_t grant_seq;  /* newest grant in force */
	uint64_t grant_term; /* of the leader that made it */
} limits_t;

void limits_init(limits_t *l);
void limits_free(limits_t *l);
/* Admits or refuses one request; hosts is the number of decided hosts. */
limit_verdict_t limits_admit(limits_t *l, const org_t *org, size_t hosts,
			     int64_t now);
/* An admitted request has ended. */
void limits_release(limits_t *l, uint32_t org);
/*
 * Takes one retry from the budgets of the organisation and of this host; false
 * where one of them is used up.
 */
bool limits_take_retry(limits_t *l, const org_t *org);

/* Demand of one organisation on one host, or the share granted for it. */
typedef struct share {
	uint32_t org;
	uint64_t amount[SHARE_DIMS];
} share_t;

/*
 * The demand to send to the leader, ascending by organisation, of the limited
 * organisations that have any. *n is their number. The caller frees the result.
 * *confirmed is the number of the newest grant that is in force here.
 */
share_t *limits_collect_demand(limits_t *l, const decided_t *d, int64_t now,
			       size_t *n, uint64_t *confirmed);
/*
 * Puts the shares in force that the leader of grant_term granted, for a demand
 * that was sent at asked_us. An older grant than the one in force is ignored.
 */
void limits_apply_grant(limits_t *l, const share_t *v, size_t n,
			uint64_t grant_term, uint64_t grant_seq,
			int64_t asked_us);

/* The leader's record of the shares that it granted; the caller locks. */
typedef struct share_pool {
	GHashTable *orgs; /* org -> list of holder_t */
	uint64_t next_grant_seq;
	int64_t no_grants_until_us; /* see share_pool_begin_term() */
} share_pool_t;

void share_pool_init(share_pool_t *p);
void share_pool_free(share_pool_t *p);
/*
 * Starts a term as the leader: forgets all shares, and grants nothing for one
 * lease, as shares granted by earlier leaders may still be in use.
 */
void share_pool_begin_term(share_pool_t *p, int64_t now);
/*
 * Answers the demand of one host: replaces each amount in v by the share that
 * it grants. confirmed is the number of the newest grant that the host has in
 * force. Returns the number of this grant; 0 where nothing is granted yet.
 */
uint64_t share_pool_ask(share_pool_t *p, const decided_t *d, host_id_t host,
			uint64_t confirmed, share_t *v, size_t n, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
