/* attempt.c - one attempt of a request: sends it to the target it was granted. */
#include "gateway_int.h"

#include "counter.h"
#include "hist.h"
#include "log.h"
#include "tunnel.h"

#include <arpa/inet.h>
#include <string.h>

/* Longest wait for a connection to a reachable target. */
#define CONNECT_TIMEOUT_US (700 * USEC_PER_MSEC)
/*
 * A grant is used within the time of two connections, one after the other. A daemon
 * that was paused for longer may have lost the place to another request.
 */
#define GRANT_USE_MAX_US (2 * CONNECT_TIMEOUT_US + 100 * USEC_PER_MSEC)
/* Responses that name another request are skipped up to these bounds. */
#define STRAYS_MAX 8u
#define STRAY_BYTES_MAX (64u << 10)

static void close_spare(request_t *r)
{
	if (r->spare)
		http1_close(r->spare);
	r->spare = NULL;
}

static void close_conn(request_t *r)
{
	if (r->conn)
		http1_close(r->conn);
	r->conn = NULL;
	close_spare(r);
}

void attempt_abort(request_t *r)
{
	close_conn(r);
	relay_reset(r);
}

void attempt_end(request_t *r, place_outcome_t outcome, bool sent,
		 reason_t reason)
{
	const attempt_end_t end = {outcome, sent, reason};

	attempt_abort(r);
	request_attempt_ended(r, &end);
}

/*
 * Requests of all priorities are alike to the runner: it would preempt one that
 * is running for a more urgent one, although a place is free for that soon. The
 * dispatcher grants places by priority.
 */
static void write_request(request_t *r, buf_t *out)
{
	int64_t now = gateway_now(r->gw);
	target_fields_t f = {
		.runner = r->runner,
		.left_us = r->deadline_us - now,
		.adapter_version = r->adapter_version,
		.resumes = r->info.resumes || r->have_event_id,
		.resume_after = r->have_event_id ? r->last_event_id
						 : r->info.resume_after,
		.org = r->org ? r->org->name : str_n(NULL, 0),
	};

	buf_printf(out, "%.*s %.*s HTTP/1.1\r\n", STR_ARG(r->method),
		   STR_ARG(r->target));
	buf_put(out, r->forwarded_fields.p, r->forwarded_fields.n);
	dialect_write_target_fields(out, &f);
	if (r->has_body)
		buf_printf(out, "Content-Length: %zu\r\n", r->body.n);
	buf_puts(out, "\r\n");
	buf_put(out, r->body.p, r->body.n);
}

static bool is_held_off(const request_t *r)
{
	return holdoff_is_active(r->gw->holdoff, r->runner, gateway_now(r->gw));
}

static void log_resumed(const request_t *r)
{
	bool by_caller = !r->have_event_id;

	counter_add(by_caller ? CTR_STREAMS_TAKEN_UP : CTR_STREAMS_RESUMED, 1);
	log_event(LOG_INFO, "resumed", kv_s("id", r->info.id),
		  kv_s("stream", r->info.resumed_stream),
		  KV_C("by", by_caller ? "caller" : "daemon"),
		  kv_s("runner", r->runner), kv_s("build", r->build),
		  kv_u("after_event",
		       by_caller ? r->info.resume_after : r->last_event_id));
}

static void write_part_ids(const request_t *r, buf_t *out)
{
	for (size_t i = 0; i < r->info.n_parts; i++)
		buf_printf(out, "%s%llx", i ? "," : "",
			   (unsigned long long)r->info.parts[i].id);
}

/* REASON_NONE: the place that was granted can still be used. */
static reason_t why_not_sent(const request_t *r)
{
	int64_t now = gateway_now(r->gw);

	if (is_held_off(r) || now - r->granted_us > GRANT_USE_MAX_US ||
	    r->deadline_us - now < USEC_PER_MSEC)
		return REASON_NO_PLACE;
	return request_comes_too_late(r) ? REASON_LEAVING : REASON_NONE;
}

static void send_request(void *ctx)
{
	request_t *r = ctx;
	reason_t reason;
	AUTO_BUF buf_t out = {0};
	AUTO_BUF buf_t parts = {0};

	close_spare(r);
	/* A connection of this host's own has failed, or has not come about. */
	if (r->by_peer && r->tried_both)
		reach_note_lost(r->gw, r->runner);
	reason = why_not_sent(r);
	if (reason != REASON_NONE) {
		attempt_end(r, PLACE_UNUSED, false, reason);
		return;
	}
	write_request(r, &out);
	write_part_ids(r, &parts);
	r->state = REQUEST_SENT;
	request_arm_timer(r);
	r->sent_us = gateway_now(r->gw);
	r->last_byte_us = r->sent_us;
	log_event(
		LOG_INFO, "sent", kv_s("id", r->info.id),
		kv_s("route", r->route->name),
		KV_C("kind", route_kind_name(r->route->kind)),
		kv_u("manifest", r->manifest->version),
		kv_s("runner", r->runner), kv_s("build", r->build),
		kv_s("adapter", r->info.adapter),
		kv_u("version", r->adapter_version), kv_x("digest", r->digest),
		kv_s("parts", buf_str(&parts)), kv_u("term", r->grant_term),
		kv_i("waited_ms", (r->sent_us - r->arrived_us) / USEC_PER_MSEC),
		kv_u("by_peer", r->by_peer ? r->via : 0));
	counter_add(CTR_SENT_BY_PEER, r->by_peer);
	if (r->have_event_id || r->info.resumes)
		log_resumed(r);
	if (str_eq(r->method, STR("HEAD")))
		http1_expect_no_body(r->conn);
	http1_send(r->conn, out.p, out.n);
}

/* Records what a response says of later requests to its target. */
static void note_holdoff(request_t *r, const response_info_t *info)
{
	int64_t for_us = info->leaving ? HOLDOFF_LEAVING : info->hold_off_us;
	/* Another runner may have the address now. */
	str_t runner = info->runner.n ? info->runner : r->runner;

	r->leaving = info->leaving && str_eq(runner, r->runner);
	r->rejections_max =
		str_eq(runner, r->runner) ? info->rejections_max : 0;
	if (!for_us)
		return;
	holdoff_add(r->gw->holdoff, runner, for_us, gateway_now(r->gw));
	log_event(LOG_INFO, "runner_held_off", kv_s("runner", runner),
		  kv_u("leaving", info->leaving),
		  kv_i("for_ms", info->hold_off_us / USEC_PER_MSEC));
}

/* What the dispatcher is told of a target that did not run the request. */
static place_outcome_t refusal_outcome(const request_t *r,
				       const response_info_t *info)
{
	if (r->response_head.status != 421)
		return PLACE_NOT_RUN;
	return info->runner.n && !str_eq(info->runner, r->runner)
		       ? PLACE_OTHER_RUNNER
		       : PLACE_NO_ADAPTER;
}

/* What it is told of a target whose response the caller may not get. */
static place_outcome_t failure_outcome(const request_t *r)
{
	return r->response_head.status / 100 == 2 ? PLACE_BROKEN : PLACE_FAILED;
}

/*
 * A response that no caller gets ends the attempt at its head: what follows tells
 * nothing more, and may have no end.
 */
static void on_response_head(void *ctx, const http1_head_t *h)
{
	request_t *r = ctx;
	response_info_t info;
	bool not_run;

	dialect_read_response_head(h, &info);
	r->wrong_request = info.id.n && !str_eq(info.id, r->info.id);
	if (r->wrong_request) {
		if (++r->n_strays > STRAYS_MAX)
			attempt_end(r, PLACE_BROKEN, true, REASON_TARGET_ERROR);
		return;
	}
	/* Without the name, it may be an earlier answer, written once more. */
	r->named = str_eq(info.id, r->info.id);
	not_run = info.not_run && r->named;
	if (r->by_peer) {
		reach_note_peer(r->gw, r->via);
	} else {
		reach_note_heard(r->gw);
		reach_note_bytes(r->gw);
	}
	r->last_byte_us = gateway_now(r->gw);
	note_holdoff(r, &info);
	named_limits_note(r, &info);
	r->response_head = *h;
	r->response_head.n_fields = 0; /* their texts become invalid */
	if (not_run)
		attempt_end(r, refusal_outcome(r, &info), false,
			    REASON_TARGET_REFUSED);
	else if (relay_head(r, h, &info) < 0)
		attempt_end(r, failure_outcome(r), true, REASON_TARGET_ERROR);
}

static void record_pause(request_t *r, int64_t pause_us)
{
	hist_add(HIST_BETWEEN_EVENTS, pause_us);
	if (pause_us > r->longest_pause_us)
		r->longest_pause_us = pause_us;
}

static void on_response_body(void *ctx, str_t piece)
{
	request_t *r = ctx;

	if (r->wrong_request) {
		r->stray_bytes += piece.n;
		if (r->stray_bytes > STRAY_BYTES_MAX)
			attempt_end(r, PLACE_BROKEN, true, REASON_TARGET_ERROR);
		return;
	}
	if (r->body_started && r->route->kind == ROUTE_STREAMING)
		record_pause(r, gateway_now(r->gw) - r->last_byte_us);
	r->last_byte_us = gateway_now(r->gw);
	if (!r->by_peer)
		reach_note_bytes(r->gw);
	relay_body(r, piece);
}

static void on_response_end(void *ctx)
{
	request_t *r = ctx;

	if (r->wrong_request) {
		r->wrong_request = false;
		http1_await_response(r->conn);
		return;
	}
	close_conn(r);
	relay_end(r);
}

static const http1_ops_t target_ops;

http1_conn_t *gateway_connect_by_peer(gateway_t *g, host_id_t via, str_t addr,
				      int64_t timeout_us,
				      const http1_ops_t *ops, void *ctx)
{
	AUTO_BUF buf_t opening = {0};
	http1_dial_t dial = {
		.to = {.sin_family = AF_INET,
		       .sin_port = htons(g->tunnel_port),
		       .sin_addr = {htonl(via)}},
		.from = g->ip,
		.timeout_us = timeout_us,
		.opened = tunnel_read_opened,
		.heads = &g->heads,
	};

	tunnel_write_open(&opening, g->secret, addr, timeout_us);
	dial.opening = buf_str(&opening);
	return http1_connect(g->loop, &dial, ops, ctx);
}

static http1_conn_t *connect_to_target(request_t *r, bool by_peer,
				       const http1_ops_t *ops)
{
	http1_dial_t dial = {.from = r->gw->ip,
			     .timeout_us = CONNECT_TIMEOUT_US,
			     .heads = &r->gw->heads};

	if (by_peer)
		return gateway_connect_by_peer(r->gw, r->via, r->addr,
					       CONNECT_TIMEOUT_US, ops, r);
	if (http1_parse_addr(r->addr, &dial.to) < 0)
		return NULL;
	return http1_connect(r->gw->loop, &dial, ops, r);
}

static bool may_go_by_peer(const request_t *r)
{
	return r->via && r->gw->tunnel_port;
}

/* The attempt ends; nothing has come from the target, if so. */
static void note_lost(const request_t *r)
{
	if (!r->by_peer && !r->response_head.status)
		reach_note_lost(r->gw, r->runner);
}

/* Another way is under way already, or is tried now; false: there is none. */
static bool go_another_way(request_t *r)
{
	if (r->spare) {
		r->conn = r->spare;
		r->by_peer = r->spare_by_peer;
		r->spare = NULL;
		http1_set_owner(r->conn, &target_ops, r);
		return true;
	}
	if (r->tried_both || !may_go_by_peer(r))
		return false;
	r->tried_both = true;
	r->by_peer = !r->by_peer;
	r->conn = connect_to_target(r, r->by_peer, &target_ops);
	return r->conn != NULL;
}

static void on_target_closed(void *ctx, http1_close_reason_t why)
{
	request_t *r = ctx;

	r->conn = NULL;
	if (r->state == REQUEST_CONNECTING && go_another_way(r))
		return;
	close_spare(r);
	r->target_close = http1_close_reason_text(why);
	counter_add(CTR_RESPONSE_HEADS_TOO_LARGE, why == HTTP1_HEAD_TOO_LARGE);
	relay_note_end(r);
	crashes_note_close(r, why);
	note_lost(r);
	if (r->state == REQUEST_CONNECTING)
		attempt_end(r, PLACE_UNREACHABLE, false, REASON_TARGET_LOST);
	else
		attempt_end(r, r->held_back ? PLACE_CANCELLED : PLACE_BROKEN,
			    true,
			    why == HTTP1_MALFORMED ? REASON_TARGET_ERROR
						   : REASON_TARGET_LOST);
}

static void on_target_drained(void *ctx)
{
	(void)ctx;
}

static const http1_ops_t target_ops = {
	.connected = send_request,
	.head = on_response_head,
	.body = on_response_body,
	.message_end = on_response_end,
	.closed = on_target_closed,
	.drained = on_target_drained,
};

/* The second connection is up first: it replaces the other. */
static void on_spare_connected(void *ctx)
{
	request_t *r = ctx;

	http1_close(r->conn);
	r->conn = r->spare;
	r->by_peer = r->spare_by_peer;
	r->spare = NULL;
	http1_set_owner(r->conn, &target_ops, r);
	send_request(r);
}

static void on_spare_closed(void *ctx, http1_close_reason_t why)
{
	request_t *r = ctx;

	(void)why;
	r->spare = NULL;
}

static const http1_ops_t spare_ops = {
	.connected = on_spare_connected,
	.closed = on_spare_closed,
};

void attempt_connect_again(request_t *r)
{
	r->connect_again_us = INT64_MAX;
	if (r->tried_both)
		return;
	r->tried_both = may_go_by_peer(r);
	r->spare_by_peer = r->tried_both && !r->by_peer;
	r->spare = connect_to_target(r, r->spare_by_peer, &spare_ops);
}

int64_t attempt_silent_us(const request_t *r)
{
	bool is_sent = r->state == REQUEST_SENT || r->state == REQUEST_RELAYING;

	return is_sent ? gateway_now(r->gw) - r->last_byte_us : -1;
}

void attempt_time_out(request_t *r)
{
	bool sent = r->state != REQUEST_CONNECTING;

	if (r->was_held_back) {
		attempt_end(r, PLACE_CANCELLED, true, REASON_SLOW_READER);
		return;
	}
	note_lost(r);
	attempt_end(r, sent ? PLACE_SILENT : PLACE_UNREACHABLE, sent,
		    sent ? REASON_DEADLINE_EXCEEDED : REASON_NO_PLACE);
}

/*
 * Each attempt has a connection of its own: a target may answer once more, late.
 * On a connection that has carried nothing else, a response that names this
 * request is that of this attempt.
 */
void attempt_begin(request_t *r)
{
	r->state = REQUEST_CONNECTING;
	r->wrong_request = false;
	r->n_strays = 0;
	r->stray_bytes = 0;
	r->named = false;
	r->leaving = false;
	r->rejections_max = 0;
	r->body_started = false;
	r->longest_pause_us = 0;
	memset(&r->event_gaps, 0, sizeof(r->event_gaps));
	r->held_back = false;
	r->was_held_back = false;
	r->sent_us = 0;
	r->target_close = NULL;
	r->unfinished_bytes = 0;
	memset(&r->response_head, 0, sizeof(r->response_head));
	if (is_held_off(r)) {
		attempt_end(r, PLACE_UNUSED, false, REASON_NO_PLACE);
		return;
	}
	reach_note_attempt(r->gw, r->addr);
	if (r->service->stops_runs)
		stop_note_target(r->gw, r->service->name, r->addr);
	r->tried_both = false;
	r->by_peer = r->gw->reach.cut_off && may_go_by_peer(r);
	r->conn = connect_to_target(r, r->by_peer, &target_ops);
	if (!r->conn && !go_another_way(r))
		attempt_end(r, PLACE_UNREACHABLE, false, REASON_TARGET_LOST);
}
