/*
 * queue.h - the waiting requests of one target. They are served by the priority
 * class of their organisation, then fairly between organisations, then by their
 * own priority, then by the earliest deadline. The code has no I/O and reads no
 * clock.
 *
 * Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) between
 * organisations, by expected service time. Organisations whose start tags
 * differ by no more than a tolerance count as equal.
 */
#ifndef DK_QUEUE_H
#define DK_QUEUE_H

#include <glib.h>
#include <urcu/list.h>

#include "serve.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One waiting request; embedded in the caller's own struct. */
typedef struct queue_item {
	struct cds_list_head node; /* in order of arrival */
	uint32_t org;
	/* Class of the organisation: a higher one is always served first. */
	int32_t org_class;
	int32_t priority; /* of the request, within its class */
	int64_t deadline_us;
	int64_t cost_us; /* expected service time */
	uint64_t seq;	 /* order of arrival */
	bool ready;	 /* could be dispatched when the caller last counted */
	/* Items of one group become ready together; 0: none. */
	uint32_t group;
} queue_item_t;

typedef struct queue {
	struct cds_list_head items;
	uint32_t n;
	uint64_t next_seq; /* of the next item that is added */
	int64_t cost_us;   /* sum of the expected service times of the items */
	int64_t virtual_time_us; /* largest start tag that was served */
	GHashTable *orgs;	 /* org -> org_queue_t */
} queue_t;

/* Returns whether an item could be dispatched now. */
typedef bool (*queue_ready_fn_t)(void *ctx, const queue_item_t *it);

void queue_init(queue_t *q);
/* Frees the queue but not its items, which belong to the caller. */
void queue_free(queue_t *q);
void queue_add(queue_t *q, queue_item_t *it);
/* Takes an item out without charging its organisation. */
void queue_remove(queue_t *q, queue_item_t *it);
/* The next ready item under the policy, or NULL; it stays in the queue. */
queue_item_t *queue_pick(queue_t *q, const serve_cfg_t *cfg,
			 queue_ready_fn_t ready, void *ctx);
/* Takes an item out and charges its cost_us to its organisation. */
void queue_dispatch(queue_t *q, queue_item_t *it);
/*
 * Expected service time of the items that would be served before this one,
 * counting only those that are ready or become ready together with it.
 */
int64_t queue_work_ahead_us(queue_t *q, const serve_cfg_t *cfg,
			    const queue_item_t *it);

#ifdef __cplusplus
}
#endif
#endif
