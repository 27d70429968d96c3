/*
 * permit.h - permits of the weight store, granted by the leading daemon: a
 * bounded number of loads at once, at a bounded rate, the most urgent first.
 * Pure decision code; the caller carries asks and grants.
 */
#ifndef DK_PERMIT_H
#define DK_PERMIT_H

#include <urcu/list.h>

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long a permit counts after its grant, where its end is never told. */
#define PERMIT_LEASE_US (10 * USEC_PER_SEC)

typedef struct permit_ask {
	host_id_t host;
	target_id_t target;
	str_t adapter;
	uint32_t waiting;
	int64_t slack_us; /* of the most urgent waiting request */
	bool prefetch;
} permit_ask_t;

typedef struct permits {
	uint32_t concurrency;
	double rate_per_s;
	double tokens;
	int64_t tokens_at_us;
	int64_t no_grants_until_us; /* a new leader learns of permits in use */
	struct cds_list_head asks;  /* in order of arrival */
	uint32_t held;
	uint32_t backlog; /* asks without a permit, prefetches apart */
} permits_t;

typedef void (*permit_grant_fn_t)(void *ctx, const permit_ask_t *ask);

void permits_init(permits_t *p, uint32_t concurrency, double rate_per_s);
void permits_free(permits_t *p);
/*
 * Starts a term of leading: forgets all, and grants nothing for one permit
 * lease or until permits_all_reported(), as earlier permits may be in use.
 */
void permits_begin_term(permits_t *p, int64_t now);
void permits_all_reported(permits_t *p, int64_t now);
/* Adds or renews the ask of (host, target, adapter). */
void permits_ask(permits_t *p, const permit_ask_t *ask, int64_t now);
/* A permit that the previous leader granted is in use. */
void permits_add_in_use(permits_t *p, const permit_ask_t *ask, int64_t now);
/* The load ended, or nobody waits for it any more. */
void permits_release(permits_t *p, host_id_t host, target_id_t target,
		     str_t adapter);
/* Drops asks of a dead host; its permits count until their lease ends. */
void permits_drop_host(permits_t *p, host_id_t host);
/* Grants what may be granted; returns when to call again, or INT64_MAX. */
int64_t permits_grant(permits_t *p, int64_t now, permit_grant_fn_t grant,
		      void *ctx);

#ifdef __cplusplus
}
#endif
#endif
