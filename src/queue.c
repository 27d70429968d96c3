/* queue.c - the waiting requests of one target and their order. */
#include "queue.h"

/*
 * Organisations whose start tags differ by no more than this count as equal.
 */
#define FAIR_TOLERANCE_US (2 * USEC_PER_SEC)

/* The state of one organisation in the queue of one target. */
typedef struct org_queue {
	int64_t start_tag_us;	 /* virtual start time of its next item */
	int64_t waiting_cost_us; /* sum over its waiting items */
	uint32_t n;		 /* waiting items */
} org_queue_t;

void queue_init(queue_t *q)
{
	CDS_INIT_LIST_HEAD(&q->items);
	q->n = 0;
	q->next_seq = 0;
	q->cost_us = 0;
	q->virtual_time_us = 0;
	q->orgs = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					g_free);
}

void queue_free(queue_t *q)
{
	g_hash_table_destroy(q->orgs);
}

static org_queue_t *org_queue_get(queue_t *q, uint32_t org)
{
	org_queue_t *oq = g_hash_table_lookup(q->orgs, GUINT_TO_POINTER(org));

	if (!oq) {
		oq = g_new0(org_queue_t, 1);
		oq->start_tag_us = q->virtual_time_us;
		g_hash_table_insert(q->orgs, GUINT_TO_POINTER(org), oq);
	}
	return oq;
}

void queue_add(queue_t *q, queue_item_t *it)
{
	org_queue_t *oq = org_queue_get(q, it->org);

	if (!oq->n && oq->start_tag_us < q->virtual_time_us)
		oq->start_tag_us = q->virtual_time_us;
	oq->n++;
	oq->waiting_cost_us += it->cost_us;
	it->seq = q->next_seq++;
	cds_list_add_tail(&it->node, &q->items);
	q->n++;
	q->cost_us += it->cost_us;
}

void queue_remove(queue_t *q, queue_item_t *it)
{
	org_queue_t *oq = org_queue_get(q, it->org);

	oq->n--;
	oq->waiting_cost_us -= it->cost_us;
	cds_list_del(&it->node);
	q->n--;
	q->cost_us -= it->cost_us;
}

void queue_dispatch(queue_t *q, queue_item_t *it)
{
	org_queue_t *oq = org_queue_get(q, it->org);

	queue_remove(q, it);
	if (oq->start_tag_us > q->virtual_time_us)
		q->virtual_time_us = oq->start_tag_us;
	oq->start_tag_us += it->cost_us;
}

/* Whether a is served before b. */
static bool is_served_before(queue_t *q, const serve_cfg_t *cfg,
			     const queue_item_t *a, const queue_item_t *b)
{
	int64_t tag_diff;

	if (cfg->policy.queue == QUEUE_FIFO)
		return a->seq < b->seq;
	if (a->org_class != b->org_class)
		return a->org_class > b->org_class;
	if (a->org != b->org) {
		tag_diff = org_queue_get(q, a->org)->start_tag_us -
			   org_queue_get(q, b->org)->start_tag_us;
		if (tag_diff > FAIR_TOLERANCE_US ||
		    tag_diff < -FAIR_TOLERANCE_US)
			return tag_diff < 0;
	}
	if (a->priority != b->priority)
		return a->priority > b->priority;
	if (a->deadline_us != b->deadline_us)
		return a->deadline_us < b->deadline_us;
	return a->seq < b->seq;
}

queue_item_t *queue_pick(queue_t *q, const serve_cfg_t *cfg,
			 queue_ready_fn_t ready, void *ctx)
{
	queue_item_t *it, *best = NULL;

	cds_list_for_each_entry (it, &q->items, node) {
		if (best && !is_served_before(q, cfg, it, best))
			continue;
		if (ready(ctx, it))
			best = it;
	}
	return best;
}

static void count_active_org(gpointer key, gpointer value, gpointer ctx)
{
	const org_queue_t *oq = value;
	uint32_t *active_orgs = ctx;

	(void)key;
	*active_orgs += oq->n > 0;
}

int64_t queue_work_ahead_us(queue_t *q, const serve_cfg_t *cfg,
			    const queue_item_t *it)
{
	int64_t own_us = 0, others_us = 0;
	uint32_t active_orgs = 0;
	const queue_item_t *other;

	cds_list_for_each_entry (other, &q->items, node) {
		if (other == it || (!other->ready && other->group != it->group))
			continue;
		if (cfg->policy.queue == QUEUE_FIFO) {
			own_us += other->cost_us;
			continue;
		}
		if (other->org_class < it->org_class)
			continue;
		if (other->org_class > it->org_class)
			others_us += other->cost_us;
		else if (other->org != it->org)
			others_us += other->cost_us;
		else if (other->priority > it->priority ||
			 (other->priority == it->priority &&
			  other->deadline_us <= it->deadline_us))
			own_us += other->cost_us;
	}
	/*
	 * Until this item starts, fair queueing serves each other organisation
	 * about as much as this one.
	 */
	g_hash_table_foreach(q->orgs, count_active_org, &active_orgs);
	if (others_us > (own_us + it->cost_us) * (int64_t)active_orgs)
		others_us = (own_us + it->cost_us) * (int64_t)active_orgs;
	return own_us + others_us;
}
