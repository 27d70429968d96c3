/*
 * named_limits.c - the limits that runners named in answers to this daemon. Each is
 * told to the dispatcher, which keeps to them for all daemons.
 */
#include "gateway_int.h"

#include "log.h"
#include "pb.h"

/* Limits heard earlier are not told to another dispatcher. */
#define LIMIT_AGE_MAX_US (60 * USEC_PER_SEC)

static named_limit_t *find(gateway_t *g, str_t runner)
{
	for (size_t i = 0; i < NAMED_LIMITS_MAX; i++)
		if (g->named_limits[i].runner.n &&
		    str_eq(g->named_limits[i].runner, runner))
			return &g->named_limits[i];
	return NULL;
}

/* The runner's entry, or a new one in place of the oldest. */
static named_limit_t *get(gateway_t *g, str_t runner)
{
	named_limit_t *l = find(g, runner);

	if (l)
		return l;
	l = &g->named_limits[0];
	for (size_t i = 1; i < NAMED_LIMITS_MAX; i++)
		if (g->named_limits[i].at_us < l->at_us)
			l = &g->named_limits[i];
	str_free(&l->runner);
	l->runner = str_copy(runner);
	return l;
}

static void forget(named_limit_t *l)
{
	str_free(&l->runner);
	l->at_us = 0;
}

/* ask_id: of the place where the answer came; 0: it was told before. */
static void tell(gateway_t *g, uint64_t ask_id, str_t runner, double per_s,
		 int64_t ago_us)
{
	Dispatch__Limit pb = DISPATCH__LIMIT__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = ask_id;
	pb.runner = pb_bytes(runner);
	pb.named = per_s != LIMIT_NONE;
	pb.per_s = per_s;
	pb.ago_us = ago_us;
	msg.body_case = DISPATCH__MSG__BODY_LIMIT;
	msg.limit = &pb;
	g->ops.send(g->ctx, &msg);
}

void named_limits_note(request_t *r, const response_info_t *info)
{
	/* Another runner may have the address now. */
	str_t runner = info->runner.n ? info->runner : r->runner;
	named_limit_t *known = find(r->gw, runner);

	if (info->limit_per_s == LIMIT_NONE) {
		/* A rejection need not be the runner's own word, nor a stray answer. */
		if (info->not_run || !(info->has_proof || r->named))
			return;
		if (known)
			forget(known);
		if (known || r->grant_limited)
			tell(r->gw, r->ask_id, runner, LIMIT_NONE, 0);
		return;
	}
	known = get(r->gw, runner);
	known->per_s = info->limit_per_s;
	known->at_us = gateway_now(r->gw);
	log_event(LOG_INFO, "runner_limit", kv_s("id", r->info.id),
		  kv_s("runner", runner),
		  kv_i("per_1000_s", (int64_t)(info->limit_per_s * 1000)));
	tell(r->gw, r->ask_id, runner, info->limit_per_s, 0);
}

void named_limits_tell(gateway_t *g)
{
	int64_t now = gateway_now(g);

	for (size_t i = 0; i < NAMED_LIMITS_MAX; i++) {
		const named_limit_t *l = &g->named_limits[i];

		if (l->runner.n && now - l->at_us < LIMIT_AGE_MAX_US)
			tell(g, 0, l->runner, l->per_s, now - l->at_us);
	}
}

void named_limits_free(gateway_t *g)
{
	for (size_t i = 0; i < NAMED_LIMITS_MAX; i++)
		forget(&g->named_limits[i]);
}
