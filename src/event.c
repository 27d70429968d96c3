/* event.c - lookup of log events, and a token bucket to limit each of them. */
#include "event.h"

#include <pthread.h>
#include <string.h>

static const event_info_t table[] = {
#define X(name, lines_per_s, keys, meaning) {name, lines_per_s, keys, meaning},
	EVENTS(X)
#undef X
};

#define EVENT_COUNT ARRAY_SIZE(table)

/* Guarded by buckets_lock. */
static struct bucket {
	double tokens;
	int64_t refilled_us;
	uint64_t left_out;
} buckets[EVENT_COUNT];
static pthread_mutex_t buckets_lock = PTHREAD_MUTEX_INITIALIZER;

const event_info_t *event_find(const char *name)
{
	for (size_t i = 0; i < EVENT_COUNT; i++)
		if (strcmp(table[i].name, name) == 0)
			return &table[i];
	return NULL;
}

/* Adds the tokens of the time since the last call, up to those of one second. */
static void refill(struct bucket *b, const event_info_t *e, int64_t now_us)
{
	if (!b->refilled_us)
		b->tokens = e->lines_per_s;
	else
		b->tokens += (double)(now_us - b->refilled_us) *
			     e->lines_per_s / USEC_PER_SEC;
	if (b->tokens > e->lines_per_s)
		b->tokens = e->lines_per_s;
	b->refilled_us = now_us;
}

bool event_may_write(const event_info_t *e, int64_t now_us, uint64_t *left_out)
{
	struct bucket *b = &buckets[e - table];
	bool allowed;

	pthread_mutex_lock(&buckets_lock);
	refill(b, e, now_us);
	allowed = b->tokens >= 1;
	*left_out = b->left_out;
	if (allowed) {
		b->tokens -= 1;
		b->left_out = 0;
	} else {
		b->left_out++;
	}
	pthread_mutex_unlock(&buckets_lock);
	return allowed;
}

void event_manual(buf_t *out)
{
	buf_puts(out,
		 "# Log events\n\nMade by `damasklug events` from "
		 "`src/event.h`. Lines are `key=value` pairs: `ts` "
		 "(seconds), `host`, `event`, then the keys below. "
		 "Lines above the limit of their event are dropped; "
		 "`suppressed=N` says that N lines of the event were dropped "
		 "before this one, `dropped=N` that N lines of any event were "
		 "lost as standard output did not take them.\n\n"
		 "| event | keys | lines per second | meaning |\n"
		 "|---|---|---|---|\n");
	for (size_t i = 0; i < EVENT_COUNT; i++)
		buf_printf(out, "| `%s` | %s | %u | %s |\n", table[i].name,
			   table[i].keys, table[i].lines_per_s,
			   table[i].meaning);
}
