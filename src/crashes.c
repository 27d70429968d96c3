/*
 * crashes.c - targets that ended as they were about to answer a request: it, or the
 * parts of its prompt, may be the cause, which the dispatcher finds out from all
 * daemons' reports.
 */
#include "gateway_int.h"

#include "pb.h"

/*
 * A target whose answer began so shortly before may have ended on a part of the prompt:
 * its first bytes can be out before it ends.
 */
#define PART_JUST_BEGUN_US (50 * USEC_PER_MSEC)
/* The same for the request itself, which may run for a while before. */
#define REQUEST_JUST_BEGUN_US (150 * USEC_PER_MSEC)
/* Older crashes are not told to another dispatcher. */
#define REPORT_AGE_MAX_US (60 * USEC_PER_SEC)

static void send_report(gateway_t *g, const crash_report_t *c)
{
	Dispatch__Crash pb = DISPATCH__CRASH__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.runner = pb_bytes(c->runner);
	pb.parts = (uint64_t *)c->parts;
	pb.n_parts = c->n_parts;
	pb.own_part = c->own_part;
	pb.digest = c->digest;
	pb.ago_us = gateway_now(g) - c->at_us;
	msg.body_case = DISPATCH__MSG__BODY_CRASH;
	msg.crash = &pb;
	g->ops.send(g->ctx, &msg);
}

/* Whether the answer had not begun, or so shortly before. */
static bool has_begun_within(const request_t *r, int64_t us)
{
	return !r->body_started || gateway_now(r->gw) - r->body_started_us < us;
}

/* Whether the target may have ended on this request. */
static bool was_about_to_answer(const request_t *r, http1_close_reason_t why)
{
	if (why != HTTP1_PEER_CLOSED && why != HTTP1_RESET)
		return false;
	if (r->state != REQUEST_SENT && r->state != REQUEST_RELAYING)
		return false;
	return has_begun_within(r, REQUEST_JUST_BEGUN_US);
}

/* The parts of its prompt that other prompts may share; the last is its own. */
static void copy_parts(const request_t *r, crash_report_t *c)
{
	size_t n = r->info.n_parts;

	c->own_part = n ? r->info.parts[n - 1].id : 0;
	c->n_parts = 0;
	if (!n || !has_begun_within(r, PART_JUST_BEGUN_US))
		return;
	while (c->n_parts + 1 < n) {
		c->parts[c->n_parts] = r->info.parts[c->n_parts].id;
		c->n_parts++;
	}
}

void crashes_note_close(request_t *r, http1_close_reason_t why)
{
	gateway_t *g = r->gw;
	crash_report_t *c = &g->crashes[g->n_crashes % CRASH_REPORTS_MAX];

	if (!was_about_to_answer(r, why))
		return;
	r->target_ended = true;
	str_free(&c->runner);
	c->runner = str_copy(r->runner);
	c->at_us = gateway_now(g);
	c->digest = r->digest;
	copy_parts(r, c);
	g->n_crashes++;
	send_report(g, c);
}

static void note_answered(answered_t *table, uint64_t id, int64_t now_us)
{
	table[id % ANSWERED_MAX] = (answered_t){id, now_us};
}

void crashes_note_answered(const request_t *r)
{
	gateway_t *g = r->gw;

	note_answered(g->answered_requests, r->digest, gateway_now(g));
	for (size_t i = 0; i + 1 < r->info.n_parts; i++)
		note_answered(g->answered_parts, r->info.parts[i].id,
			      gateway_now(g));
}

/* What a message tells of a table. */
typedef struct answered_list {
	uint64_t ids[ANSWERED_MAX];
	int64_t ago_us[ANSWERED_MAX];
	size_t n;
} answered_list_t;

static void list_answered(const gateway_t *g, const answered_t *table,
			  int64_t since_us, answered_list_t *out)
{
	out->n = 0;
	for (size_t i = 0; i < ANSWERED_MAX; i++) {
		if (table[i].at_us <= since_us)
			continue;
		out->ids[out->n] = table[i].id;
		out->ago_us[out->n++] = gateway_now(g) - table[i].at_us;
	}
}

static void tell_answered(gateway_t *g, int64_t since_us)
{
	Dispatch__Answered pb = DISPATCH__ANSWERED__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;
	answered_list_t parts, requests;

	list_answered(g, g->answered_parts, since_us, &parts);
	list_answered(g, g->answered_requests, since_us, &requests);
	pb.parts = parts.ids;
	pb.ago_us = parts.ago_us;
	pb.n_parts = pb.n_ago_us = parts.n;
	pb.digests = requests.ids;
	pb.digests_ago_us = requests.ago_us;
	pb.n_digests = pb.n_digests_ago_us = requests.n;
	msg.body_case = DISPATCH__MSG__BODY_ANSWERED;
	msg.answered = &pb;
	if (pb.n_parts || pb.n_digests)
		g->ops.send(g->ctx, &msg);
}

void crashes_tell(gateway_t *g)
{
	int64_t since_us = gateway_now(g) - REPORT_AGE_MAX_US;

	tell_answered(g, since_us);
	for (size_t i = 0; i < CRASH_REPORTS_MAX; i++)
		if (g->crashes[i].runner.n && g->crashes[i].at_us > since_us)
			send_report(g, &g->crashes[i]);
}

void crashes_free(gateway_t *g)
{
	for (size_t i = 0; i < CRASH_REPORTS_MAX; i++)
		str_free(&g->crashes[i].runner);
}
