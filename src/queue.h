/*
 * queue.h - the waiting requests of one target: priority classes, fair
 * between organisations, earliest deadline first. Pure decision code.
 *
 * Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) between
 * organisations by expected service time; organisations within a tolerance of
 * each other are served by deadline.
 */
#ifndef DK_QUEUE_H
#define DK_QUEUE_H

#include <glib.h>
#include <urcu/list.h>

#include "serve.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One waiting request; embedded in its owner. */
typedef struct qitem {
	struct cds_list_head node; /* in order of arrival */
	uint32_t org;
	int32_t org_class; /* of the organisation; strict */
	int32_t priority;  /* of the request, among its class */
	int64_t deadline_us;
	int64_t cost_us; /* expected service time */
	uint64_t seq;
	bool ready;	/* could be dispatched, as last counted */
	uint32_t group; /* items of one group become ready together; 0: none */
} queue_item_t;

typedef struct queue {
	struct cds_list_head items;
	uint32_t n;
	uint64_t next_seq;
	int64_t cost_us;  /* sum over the items */
	int64_t clock_us; /* virtual time: start tag of the last served item */
	GHashTable *orgs; /* org -> share_t */
} queue_t;

/* Whether an item could be dispatched now. */
typedef bool (*queue_ready_fn_t)(void *ctx, const queue_item_t *it);

void queue_init(queue_t *q);
void queue_free(queue_t *q); /* items are the caller's */
void queue_add(queue_t *q, queue_item_t *it);
/* Takes an item out without serving it. */
void queue_remove(queue_t *q, queue_item_t *it);
/* The next ready item under the policy, or NULL; it stays in the queue. */
queue_item_t *queue_pick(queue_t *q, const serve_cfg_t *cfg,
			 queue_ready_fn_t ready, void *ctx);
/* Takes a picked item out and charges its organisation. */
void queue_dispatch(queue_t *q, queue_item_t *it);
/*
 * Expected service time of the items that would be served before it: of those
 * that are ready or become so together with it.
 */
int64_t queue_work_ahead_us(queue_t *q, const serve_cfg_t *cfg,
			    const queue_item_t *it);

#ifdef __cplusplus
}
#endif
#endif
