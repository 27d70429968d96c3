/*
 * permit.h - permits to load adapters from the weight store. The leading daemon
 * grants them, so that all daemons together load a bounded number of adapters
 * at once and at a bounded rate, the most urgent first. The code has no I/O and
 * reads no clock; the caller transports asks and grants.
 */
#ifndef DK_PERMIT_H
#define DK_PERMIT_H

#include <urcu/list.h>

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A permit counts as in use for this long after its grant, unless its holder
 * reports earlier that the load has ended.
 */
#define PERMIT_LEASE_US (10 * USEC_PER_SEC)

/* A request for a permit: a load of an adapter on a target. */
typedef struct permit_ask {
	host_id_t host; /* of the daemon that asks */
	target_id_t target;
	str_t adapter;
	uint32_t waiting; /* requests that wait for the load */
	int64_t slack_us; /* time to the deadline of the most urgent of them */
	bool prefetch;	  /* nobody waits yet; granted after all others */
} permit_ask_t;

typedef struct permits {
	uint32_t concurrency; /* most permits in use at once */
	double rate_per_s;    /* most grants for each second; 0: not limited */
	double tokens;	      /* of the token bucket for rate_per_s */
	int64_t tokens_updated_us;
	int64_t no_grants_until_us; /* see permits_begin_term() */
	/* Asks and granted permits (permit_t), in order of arrival. */
	struct cds_list_head entries;
	uint32_t n_granted; /* permits in use */
	uint32_t backlog;   /* asks not granted yet, without prefetches */
} permits_t;

typedef void (*permit_grant_fn_t)(void *ctx, const permit_ask_t *ask);

void permits_init(permits_t *p, uint32_t concurrency, double rate_per_s);
void permits_free(permits_t *p);
/*
 * Starts a term as the leader: forgets all asks and permits, and grants nothing
 * for one permit lease or until permits_all_reported(), as permits granted by
 * earlier leaders may still be in use.
 */
void permits_begin_term(permits_t *p, int64_t now);
/* Every live host has reported its permits in use: granting may begin. */
void permits_all_reported(permits_t *p, int64_t now);
/* Adds the ask, or updates the one for the same host, target and adapter. */
void permits_ask(permits_t *p, const permit_ask_t *ask, int64_t now);
/* Adds a permit that an earlier leader granted and that is in use. */
void permits_add_in_use(permits_t *p, const permit_ask_t *ask, int64_t now);
/*
 * Drops an ask or a permit, as the load ended or nobody waits for it any more.
 */
void permits_release(permits_t *p, host_id_t host, target_id_t target,
		     str_t adapter);
/*
 * Drops the asks of a dead host. Its permits count as in use until their lease
 * ends.
 */
void permits_drop_host(permits_t *p, host_id_t host);
/*
 * Calls grant for each ask that may be granted now. Returns when to call again,
 * or INT64_MAX.
 */
int64_t permits_grant(permits_t *p, int64_t now, permit_grant_fn_t grant,
		      void *ctx);

#ifdef __cplusplus
}
#endif
#endif
