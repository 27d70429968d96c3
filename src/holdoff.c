/* holdoff.c - list of the targets that are held off, newest first. */
#include "holdoff.h"

#include <stdlib.h>

#include <urcu/list.h>

/*
 * Longest time that a target is held off. One that shuts down has ended by then,
 * and a process that comes after it has another id.
 */
#define HOLDOFF_MAX_US (3600 * USEC_PER_SEC)

/*
 * One that is held off for good is listed for so long. By then the platform's
 * list names it as leaving, or no more.
 */
#define LEAVING_LISTED_US (10 * USEC_PER_SEC)

typedef struct held_target {
	struct cds_list_head node; /* in holdoff->targets */
	str_t id;		   /* owned */
	int64_t until_us;
	int64_t listed_until_us;
} held_target_t;

struct holdoff {
	struct cds_list_head targets;
};

holdoff_t *holdoff_new(void)
{
	holdoff_t *h = xcalloc(1, sizeof(*h));

	CDS_INIT_LIST_HEAD(&h->targets);
	return h;
}

static void held_target_free(held_target_t *t)
{
	cds_list_del(&t->node);
	str_free(&t->id);
	free(t);
}

static void drop_expired(holdoff_t *h, int64_t now_us)
{
	held_target_t *t, *tmp;

	cds_list_for_each_entry_safe (t, tmp, &h->targets, node)
		if (t->until_us <= now_us)
			held_target_free(t);
}

void holdoff_free(holdoff_t *h)
{
	if (!h)
		return;
	drop_expired(h, INT64_MAX);
	free(h);
}

static held_target_t *find(const holdoff_t *h, str_t target)
{
	held_target_t *t;

	cds_list_for_each_entry (t, &h->targets, node)
		if (str_eq(t->id, target))
			return t;
	return NULL;
}

static int64_t later_of(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

void holdoff_add(holdoff_t *h, str_t target, int64_t for_us, int64_t now_us)
{
	bool leaving = for_us == HOLDOFF_LEAVING;
	held_target_t *t;

	if (for_us > HOLDOFF_MAX_US)
		for_us = HOLDOFF_MAX_US;
	drop_expired(h, now_us);
	t = find(h, target);
	if (!t) {
		t = xcalloc(1, sizeof(*t));
		t->id = str_copy(target);
		cds_list_add(&t->node, &h->targets);
	}
	t->until_us = later_of(t->until_us, now_us + for_us);
	t->listed_until_us =
		later_of(t->listed_until_us,
			 now_us + (leaving ? LEAVING_LISTED_US : for_us));
}

bool holdoff_is_active(const holdoff_t *h, str_t target, int64_t now_us)
{
	const held_target_t *t = find(h, target);

	return t && t->until_us > now_us;
}

size_t holdoff_list(const holdoff_t *h, int64_t now_us, str_t *out, size_t max)
{
	const held_target_t *t;
	size_t n = 0;

	cds_list_for_each_entry (t, &h->targets, node)
		if (t->listed_until_us > now_us && n < max)
			out[n++] = t->id;
	return n;
}
