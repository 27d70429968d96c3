/*
 * places.c - places at targets: asks the dispatcher for them, takes its replies, and
 * gives back or tells again what is in use.
 */
#include "gateway_int.h"

#include <stdlib.h>

#include "hist.h"
#include "pb.h"

/* An Ask without a reply is sent again after this time. */
#define ASK_RESEND_US (120 * USEC_PER_MSEC)
/*
 * An Ask that the dispatcher has acknowledged (Waiting) is sent again after
 * this time, in case the grant or refusal was lost.
 */
#define ASK_RESEND_ACKED_US (500 * USEC_PER_MSEC)
/*
 * A request waits for a place for at most this multiple of its route's latency
 * objective, but for no less than ASK_WAIT_MIN_US.
 */
#define ASK_WAIT_OBJECTIVES 3
#define ASK_WAIT_MIN_US (600 * USEC_PER_MSEC)
/* A connection to a target that takes longer is tried a second time. */
#define CONNECT_AGAIN_US (150 * USEC_PER_MSEC)

int64_t request_next_ask_us(const request_t *r)
{
	return r->asked_us +
	       (r->ask_acked ? ASK_RESEND_ACKED_US : ASK_RESEND_US);
}

/* Messages to the dispatcher. */

/* Most runners held off that an Ask names. */
#define ASK_HELD_OFF_MAX 32u

/* Storage for the repeated fields of an Ask while it is packed. */
typedef struct ask_lists {
	Dispatch__PromptPart parts[PROMPT_PARTS_MAX];
	Dispatch__PromptPart *part_ptrs[PROMPT_PARTS_MAX];
	ProtobufCBinaryData avoid[ASKS_MAX + ASK_HELD_OFF_MAX];
} ask_lists_t;

static void fill_ask_lists(const request_t *r, ask_lists_t *l,
			   Dispatch__Ask *pb)
{
	str_t held_off[ASK_HELD_OFF_MAX];
	size_t n_held_off;

	for (size_t i = 0; i < r->info.n_parts; i++) {
		dispatch__prompt_part__init(&l->parts[i]);
		l->parts[i].id = r->info.parts[i].id;
		l->parts[i].tokens = r->info.parts[i].tokens;
		l->part_ptrs[i] = &l->parts[i];
	}
	for (size_t i = 0; i < r->n_avoid; i++)
		l->avoid[i] = pb_bytes(r->avoid[i]);
	n_held_off = holdoff_list(r->gw->holdoff, gateway_now(r->gw), held_off,
				  ASK_HELD_OFF_MAX);
	for (size_t i = 0; i < n_held_off; i++)
		l->avoid[r->n_avoid + i] = pb_bytes(held_off[i]);
	pb->avoid = l->avoid;
	pb->n_avoid = r->n_avoid + n_held_off;
	pb->parts = l->part_ptrs;
	pb->n_parts = r->info.n_parts;
}

void request_send_ask(request_t *r)
{
	Dispatch__Ask pb = DISPATCH__ASK__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;
	ask_lists_t lists;
	int64_t now = gateway_now(r->gw);

	pb.id = r->ask_id;
	pb.service = pb_bytes(r->service->name);
	pb.model = pb_bytes(r->info.model);
	pb.adapter = pb_bytes(r->info.adapter);
	pb.tokens_in = r->info.tokens_in;
	pb.tokens_out = r->info.tokens_out;
	pb.tokens_out_hint = r->info.tokens_out_hint;
	pb.event_gap_us = r->route->event_gap_us;
	pb.priority = r->route->priority;
	if (r->org) {
		pb.org = pb_bytes(r->org->name);
		pb.org_priority = r->org->priority;
	}
	pb.target_us = r->arrived_us + r->route->target_us - now;
	pb.left_us = r->deadline_us - now;
	pb.repeat = r->n_asks > 1;
	pb.target_ended = r->target_ended;
	fill_ask_lists(r, &lists, &pb);
	pb.zone = pb_bytes(r->gw->zone);
	pb.request = pb_bytes(r->info.id);
	pb.digest = r->digest;
	pb.build = pb_bytes(r->stream_build);
	pb.takes_up = request_takes_up_stream(r);
	pb.begins_stream = r->stream_key && !pb.takes_up;
	if (pb.takes_up && !r->stream_build.n)
		pb.stream = r->stream_key;
	msg.body_case = DISPATCH__MSG__BODY_ASK;
	msg.ask = &pb;
	r->asked_us = now;
	r->ask_acked = false;
	r->gw->ops.send(r->gw->ctx, &msg);
}

void request_ask_for_place(request_t *r)
{
	gateway_t *g = r->gw;
	int64_t now = gateway_now(g);
	int64_t wait = r->route->target_us * ASK_WAIT_OBJECTIVES;

	if (request_comes_too_late(r)) {
		request_refuse(r, REASON_LEAVING, 0);
		return;
	}
	if (wait < ASK_WAIT_MIN_US)
		wait = ASK_WAIT_MIN_US;
	r->n_asks++;
	r->ask_id = ++g->last_ask_id;
	r->state = REQUEST_AWAITING_GRANT;
	r->first_asked_us = now;
	r->ask_deadline_us = now + wait;
	if (r->ask_deadline_us > r->deadline_us - SEND_MARGIN_US)
		r->ask_deadline_us = r->deadline_us - SEND_MARGIN_US;
	request_send_ask(r);
	request_arm_timer(r);
}

static void send_done(gateway_t *g, const Dispatch__Done *done)
{
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	msg.body_case = DISPATCH__MSG__BODY_DONE;
	msg.done = (Dispatch__Done *)done;
	g->ops.send(g->ctx, &msg);
}

void request_release_place(request_t *r, place_outcome_t outcome)
{
	Dispatch__Done done = DISPATCH__DONE__INIT;

	if (!r->ask_id)
		return;
	done.id = r->ask_id;
	done.outcome = outcome;
	relay_tell_pauses(r, &done);
	done.leaving = r->leaving;
	done.rejections_max = r->rejections_max;
	done.by_peer = r->by_peer;
	r->ask_id = 0;
	send_done(r->gw, &done);
}

void request_report_started(request_t *r)
{
	Dispatch__Started pb = DISPATCH__STARTED__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;
	int64_t keep_us = request_record_stream(r);

	if (!r->ask_id || !(r->service->engine || keep_us))
		return;
	pb.id = r->ask_id;
	pb.waited_us = gateway_now(r->gw) - r->sent_us;
	pb.leaving = r->leaving;
	pb.rejections_max = r->rejections_max;
	pb.by_peer = r->by_peer;
	if (keep_us) {
		pb.stream = r->stream_key;
		pb.build = pb_bytes(r->stream_build);
		pb.keep_us = keep_us;
	}
	msg.body_case = DISPATCH__MSG__BODY_STARTED;
	msg.started = &pb;
	r->gw->ops.send(r->gw->ctx, &msg);
}

/* Messages of the dispatcher. */

static request_t *find_by_ask_id(gateway_t *g, uint64_t id)
{
	request_t *r;

	cds_list_for_each_entry (r, &g->requests, node)
		if (r->ask_id == id)
			return r;
	return NULL;
}

/* The request for which the place was granted has ended. */
static void return_grant(gateway_t *g, const Dispatch__Grant *m)
{
	Dispatch__Done done = DISPATCH__DONE__INIT;

	done.id = m->id;
	done.outcome = PLACE_UNUSED;
	send_done(g, &done);
}

static void on_grant(gateway_t *g, const Dispatch__Grant *m)
{
	request_t *r = find_by_ask_id(g, m->id);

	if (!r) {
		return_grant(g, m);
		return;
	}
	if (r->state != REQUEST_AWAITING_GRANT)
		return; /* duplicate */
	if (!request_grant_fits(r, m)) {
		request_release_place(r, PLACE_UNUSED);
		request_refuse(r, REASON_STREAM_UNKNOWN, 0);
		return;
	}
	str_free(&r->runner);
	str_free(&r->addr);
	str_free(&r->build);
	r->runner = str_copy(pb_str(m->runner));
	r->addr = str_copy(pb_str(m->addr));
	r->build = str_copy(pb_str(m->build));
	if (request_takes_up_stream(r) && !r->stream_build.n)
		r->stream_build = str_copy(r->build);
	r->adapter_version = m->adapter_version;
	r->grant_term = m->term;
	r->grant_limited = m->limited;
	r->via = m->via ? m->via : g->ops.pick_peer(g->ctx);
	hist_add(HIST_GRANT, gateway_now(g) - r->asked_us);
	r->granted_us = gateway_now(g);
	r->state = REQUEST_CONNECTING;
	r->connect_again_us = gateway_now(g) + CONNECT_AGAIN_US;
	request_arm_timer(r);
	attempt_begin(r);
}

static void on_refusal(gateway_t *g, const Dispatch__Refusal *m)
{
	request_t *r = find_by_ask_id(g, m->id);
	reason_t reason = (reason_t)m->reason;

	if (!r || r->state != REQUEST_AWAITING_GRANT)
		return;
	r->ask_id = 0;
	if (m->reason == REASON_NONE || m->reason >= REASON_COUNT)
		reason = REASON_NO_PLACE;
	request_refuse(r, reason, m->retry_us);
}

static void on_waiting(gateway_t *g, const Dispatch__Waiting *m)
{
	request_t *r = find_by_ask_id(g, m->id);

	if (!r || r->state != REQUEST_AWAITING_GRANT)
		return;
	r->ask_acked = true;
	request_arm_timer(r);
}

void gateway_recv(gateway_t *g, const Dispatch__Msg *msg)
{
	g->dispatcher_heard_us = gateway_now(g);
	if (msg->body_case == DISPATCH__MSG__BODY_GRANT)
		on_grant(g, msg->grant);
	else if (msg->body_case == DISPATCH__MSG__BODY_REFUSAL)
		on_refusal(g, msg->refusal);
	else if (msg->body_case == DISPATCH__MSG__BODY_WAITING)
		on_waiting(g, msg->waiting);
}

/* Tells a dispatcher that may not know of it which place the request uses. */
static void send_held(request_t *r)
{
	Dispatch__Held pb = DISPATCH__HELD__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = r->ask_id;
	pb.runner = pb_bytes(r->runner);
	pb.model = pb_bytes(r->info.model);
	pb.adapter = pb_bytes(r->info.adapter);
	pb.tokens = r->info.tokens_in + r->info.tokens_out;
	pb.digest = r->digest;
	msg.body_case = DISPATCH__MSG__BODY_HELD;
	msg.held = &pb;
	r->gw->ops.send(r->gw->ctx, &msg);
}

/* Lists all ids in use: the dispatcher frees other places of this daemon. */
static void send_uses(gateway_t *g)
{
	AUTO_FREE uint64_t *ids = xcalloc(g->n_requests + 1, sizeof(*ids));
	Dispatch__Uses pb = DISPATCH__USES__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;
	request_t *r;

	pb.ids = ids;
	cds_list_for_each_entry (r, &g->requests, node)
		if (r->ask_id)
			ids[pb.n_ids++] = r->ask_id;
	msg.body_case = DISPATCH__MSG__BODY_USES;
	msg.uses = &pb;
	g->ops.send(g->ctx, &msg);
}

void gateway_brief_dispatcher(gateway_t *g)
{
	crashes_tell(g);
	named_limits_tell(g);
}

void gateway_resync_dispatcher(gateway_t *g)
{
	request_t *r;

	gateway_tell_streams(g);
	gateway_brief_dispatcher(g);
	send_uses(g);
	cds_list_for_each_entry (r, &g->requests, node) {
		if (r->state == REQUEST_AWAITING_GRANT) {
			request_send_ask(r);
			request_arm_timer(r);
		} else if (r->state >= REQUEST_CONNECTING && r->ask_id) {
			send_held(r);
		}
	}
}
