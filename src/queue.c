/* queue.c - waiting requests of one target. */
#include "queue.h"

/* Lead in service time up to which organisations count as level. */
#define FAIR_TOLERANCE_US (2 * USEC_PER_SEC)

/* What one organisation has and waits for at this target. */
typedef struct queue_share {
	int64_t tag_us; /* virtual time at which its next item starts */
	int64_t waiting_us;
	uint32_t n;
} queue_share_t;

void queue_init(queue_t *q)
{
	CDS_INIT_LIST_HEAD(&q->items);
	q->n = 0;
	q->next_seq = 0;
	q->cost_us = 0;
	q->clock_us = 0;
	q->orgs = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					g_free);
}

void queue_free(queue_t *q)
{
	g_hash_table_destroy(q->orgs);
}

static queue_share_t *queue_share(queue_t *q, uint32_t org)
{
	queue_share_t *sh = g_hash_table_lookup(q->orgs, GUINT_TO_POINTER(org));

	if (!sh) {
		sh = g_new0(queue_share_t, 1);
		sh->tag_us = q->clock_us;
		g_hash_table_insert(q->orgs, GUINT_TO_POINTER(org), sh);
	}
	return sh;
}

void queue_add(queue_t *q, queue_item_t *it)
{
	queue_share_t *sh = queue_share(q, it->org);

	if (!sh->n && sh->tag_us < q->clock_us)
		sh->tag_us = q->clock_us;
	sh->n++;
	sh->waiting_us += it->cost_us;
	it->seq = q->next_seq++;
	cds_list_add_tail(&it->node, &q->items);
	q->n++;
	q->cost_us += it->cost_us;
}

void queue_remove(queue_t *q, queue_item_t *it)
{
	queue_share_t *sh = queue_share(q, it->org);

	sh->n--;
	sh->waiting_us -= it->cost_us;
	cds_list_del(&it->node);
	q->n--;
	q->cost_us -= it->cost_us;
}

void queue_dispatch(queue_t *q, queue_item_t *it)
{
	queue_share_t *sh = queue_share(q, it->org);

	queue_remove(q, it);
	if (sh->tag_us > q->clock_us)
		q->clock_us = sh->tag_us;
	sh->tag_us += it->cost_us;
}

/* True where a is served before b. */
static bool item_before(queue_t *q, const serve_cfg_t *cfg,
			const queue_item_t *a, const queue_item_t *b)
{
	int64_t lead;

	if (cfg->policy.queue == QUEUE_FIFO)
		return a->seq < b->seq;
	if (a->org_class != b->org_class)
		return a->org_class > b->org_class;
	if (a->org != b->org) {
		lead = queue_share(q, a->org)->tag_us -
		       queue_share(q, b->org)->tag_us;
		if (lead > FAIR_TOLERANCE_US || lead < -FAIR_TOLERANCE_US)
			return lead < 0;
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
		if (best && !item_before(q, cfg, it, best))
			continue;
		if (ready(ctx, it))
			best = it;
	}
	return best;
}

static void count_waiting_org(gpointer key, gpointer value, gpointer ctx)
{
	const queue_share_t *sh = value;
	uint32_t *active = ctx;

	(void)key;
	*active += sh->n > 0;
}

int64_t queue_work_ahead_us(queue_t *q, const serve_cfg_t *cfg,
			    const queue_item_t *it)
{
	int64_t own = 0, others = 0;
	uint32_t active = 0;
	const queue_item_t *x;

	cds_list_for_each_entry (x, &q->items, node) {
		if (x == it || (!x->ready && x->group != it->group))
			continue;
		if (cfg->policy.queue == QUEUE_FIFO) {
			own += x->cost_us;
			continue;
		}
		if (x->org_class < it->org_class)
			continue;
		if (x->org_class > it->org_class)
			others += x->cost_us;
		else if (x->org != it->org)
			others += x->cost_us;
		else if (x->priority > it->priority ||
			 (x->priority == it->priority &&
			  x->deadline_us <= it->deadline_us))
			own += x->cost_us;
	}
	/* Each other organisation is served as much as this one meanwhile. */
	g_hash_table_foreach(q->orgs, count_waiting_org, &active);
	if (others > (own + it->cost_us) * (int64_t)active)
		others = (own + it->cost_us) * (int64_t)active;
	return own + others;
}
