/* lost_targets.c - which requests targets were lost under. */
#include "lost_targets.h"

#include <pthread.h>
#include <stdlib.h>

/* Requests remembered, in a direct-mapped table. */
#define REQUESTS_MAX 1024u
/* Losses from which on a request is refused. */
#define LOSSES_NEEDED 3u
/* Losses within this time are one: of copies at one target, or of one link. */
#define LOST_TOGETHER_US (20 * USEC_PER_MSEC)
/* A loss counts for so long; longer than TRIAL_NEXT_US. */
#define LOSS_VALID_US (900 * USEC_PER_SEC)
/* Time from the last loss to the first trial, and from each trial to the next. */
#define TRIAL_FIRST_US (10 * USEC_PER_SEC)
#define TRIAL_NEXT_US (600 * USEC_PER_SEC)

typedef struct lost_request {
	uint64_t digest;
	uint32_t n_lost; /* 0: none is remembered */
	int64_t last_us;
	int64_t trial_us; /* refused until then */
} lost_request_t;

struct lost_targets {
	pthread_mutex_t lock;
	lost_request_t requests[REQUESTS_MAX];
};

lost_targets_t *lost_targets_new(void)
{
	lost_targets_t *l = xcalloc(1, sizeof(*l));

	pthread_mutex_init(&l->lock, NULL);
	return l;
}

void lost_targets_free(lost_targets_t *l)
{
	if (!l)
		return;
	pthread_mutex_destroy(&l->lock);
	free(l);
}

static lost_request_t *slot_of(lost_targets_t *l, uint64_t digest)
{
	return &l->requests[digest % REQUESTS_MAX];
}

void lost_targets_note(lost_targets_t *l, uint64_t digest, int64_t now_us)
{
	lost_request_t *r = slot_of(l, digest);

	pthread_mutex_lock(&l->lock);
	if (r->digest != digest || now_us - r->last_us > LOSS_VALID_US)
		*r = (lost_request_t){.digest = digest};
	if (!r->n_lost || now_us - r->last_us > LOST_TOGETHER_US)
		r->n_lost++;
	r->last_us = now_us;
	if (r->trial_us < now_us + TRIAL_FIRST_US)
		r->trial_us = now_us + TRIAL_FIRST_US;
	pthread_mutex_unlock(&l->lock);
}

void lost_targets_clear(lost_targets_t *l, uint64_t digest)
{
	lost_request_t *r = slot_of(l, digest);

	pthread_mutex_lock(&l->lock);
	if (r->digest == digest)
		r->n_lost = 0;
	pthread_mutex_unlock(&l->lock);
}

bool lost_targets_refuses(lost_targets_t *l, uint64_t digest, int64_t now_us)
{
	lost_request_t *r = slot_of(l, digest);
	bool suspected, refuses;

	pthread_mutex_lock(&l->lock);
	suspected = r->digest == digest && r->n_lost >= LOSSES_NEEDED;
	refuses = suspected && now_us < r->trial_us;
	if (suspected && !refuses)
		r->trial_us = now_us + TRIAL_NEXT_US;
	pthread_mutex_unlock(&l->lock);
	return refuses;
}
