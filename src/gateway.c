/*
 * gateway.c - requests of callers: admission, routing, retries, refusals, and their end.
 */
#include "gateway_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "counter.h"
#include "hist.h"
#include "log.h"
#include "pb.h"

/*
 * A dispatcher that has sent nothing for this long since an Ask was first sent
 * is reported as unresponsive.
 */
#define DISPATCHER_SILENT_US (200 * USEC_PER_MSEC)
/* Limits of callers' connections until a manifest sets them. */
#define IDLE_TIMEOUT_US (15 * USEC_PER_SEC)
#define HEAD_TIMEOUT_US (3 * USEC_PER_SEC)
#define HEAD_MAX 16384u
/*
 * Longest time that a new connection is not read while this host starts:
 * callers consider a connection dead that is not read for a second.
 */
#define HOLD_MAX_US (900 * USEC_PER_MSEC)
/* Period of the check whether held connections can be read. */
#define HOLD_CHECK_US (10 * USEC_PER_MSEC)

void request_arm_timer(request_t *r)
{
	int64_t due = r->deadline_us;

	if (r->state == REQUEST_AWAITING_GRANT) {
		int64_t again = request_next_ask_us(r);

		due = again < due ? again : due;
		due = r->ask_deadline_us < due ? r->ask_deadline_us : due;
	}
	if (r->state == REQUEST_CONNECTING && r->connect_again_us < due)
		due = r->connect_again_us;
	timer_svc_arm(loop_timers(r->gw->loop), &r->timer, due);
}

static void request_free(request_t *r)
{
	gateway_t *g = r->gw;

	timer_svc_cancel(loop_timers(g->loop), &r->timer);
	cds_list_del(&r->node);
	g->n_requests--;
	if (r->caller)
		r->caller->req = NULL;
	manifest_unref(r->manifest);
	for (size_t i = 0; i < r->n_avoid; i++)
		str_free(&r->avoid[i]);
	str_free(&r->runner);
	str_free(&r->addr);
	str_free(&r->build);
	str_free(&r->stream_build);
	buf_free(&r->head_text);
	buf_free(&r->forwarded_fields);
	request_body_free(r);
	buf_free(&r->head_out);
	buf_free(&r->body_out);
	buf_free(&r->fallback_response);
	g->held_bytes -= r->held_bytes;
	free(r);
}

bool request_may_repeat(const request_t *r)
{
	if (r->route->kind == ROUTE_STREAMING)
		return r->route->resumable;
	return r->route->kind == ROUTE_IDEMPOTENT;
}

bool request_comes_too_late(const request_t *r)
{
	const gateway_t *g = r->gw;

	return gateway_now(g) >= g->last_send_us && r->deadline_us > g->end_us;
}

/* Responses. */

static const char *run_name(run_state_t run)
{
	static const char *const names[] = {
		[RUN_NO] = "no", [RUN_UNKNOWN] = "unknown", [RUN_YES] = "yes"};

	return names[run];
}

static int64_t since_arrival_ms(const request_t *r)
{
	return (gateway_now(r->gw) - r->arrived_us) / USEC_PER_MSEC;
}

static void caller_free(caller_t *c)
{
	cds_list_del(&c->held);
	free(c);
}

static void caller_end_response(caller_t *c, bool may_reuse)
{
	if (may_reuse && c->may_reuse && !c->gw->ops.is_draining(c->gw->ctx)) {
		http1_await_request(c->conn);
		return;
	}
	http1_close_when_sent(c->conn);
	caller_free(c);
}

/* Sends a refusal as a response of this daemon's own. */
static void answer_refusal(caller_t *c, str_t id, reason_t reason,
			   int64_t retry_us, bool close)
{
	const reason_info_t *info = reason_info(reason);
	AUTO_BUF buf_t body = {0};
	AUTO_BUF buf_t out = {0};

	counter_add_refused(reason);
	counter_add_response(info->http_status, RESPONSE_BY_DAEMON);
	if (!retry_us)
		retry_us = info->retry_ms * USEC_PER_MSEC;
	buf_printf(&body,
		   "{\"error\":{\"reason\":\"%s\",\"run\":\"%s\","
		   "\"retry_after_ms\":%lld}}",
		   info->name, run_name(info->run_state),
		   (long long)(retry_us / USEC_PER_MSEC));
	buf_printf(&out,
		   "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n",
		   info->http_status,
		   http_status_str((enum http_status)info->http_status),
		   body.n);
	dialect_write_request_id(&out, id);
	if (info->run_state == RUN_NO && retry_us)
		buf_printf(&out, "Retry-After: %.3f\r\n",
			   (double)retry_us / (double)USEC_PER_SEC);
	if (close || !c->may_reuse || c->gw->ops.is_draining(c->gw->ctx))
		buf_puts(&out, "Connection: close\r\n");
	buf_puts(&out, "\r\n");
	buf_put(&out, body.p, body.n);
	http1_send(c->conn, out.p, out.n);
}

/* r: NULL where the request was refused at its head. */
static void log_refused(str_t id, const request_t *r, reason_t reason)
{
	const reason_info_t *info = reason_info(reason);
	int status = r ? r->relayed_status : 0;

	log_event(LOG_INFO, "refused", kv_s("id", id),
		  kv_s("route", r ? r->route->name : str_n(NULL, 0)),
		  KV_C("reason", info->name),
		  kv_i("status", status ? status : info->http_status),
		  KV_C("by", status ? "target" : "daemon"),
		  KV_C("run", run_name(info->run_state)),
		  kv_u("tries", r ? r->n_asks : 0),
		  kv_i("after_ms", r ? since_arrival_ms(r) : 0));
}

/* Over all attempts. */
static run_state_t possible_run(const request_t *r)
{
	return r->n_possible_runs ? RUN_UNKNOWN : RUN_NO;
}

void request_refuse(request_t *r, reason_t reason, int64_t retry_us)
{
	caller_t *c = r->caller;
	bool reading = r->state == REQUEST_READING_BODY;

	r->state = REQUEST_DONE;
	reason = reason_for_run(reason, possible_run(r));
	log_refused(r->info.id, r, reason);
	if (!c) {
		request_free(r);
		return;
	}
	r->caller = NULL;
	c->req = NULL;
	if (r->head_sent) {
		/* The reset keeps a cut response from looking complete. */
		counter_add_refused(reason);
		http1_reset(c->conn);
		caller_free(c);
	} else if (r->fallback_response.n) {
		counter_add_response(r->relayed_status, RESPONSE_BY_TARGET);
		http1_send(c->conn, r->fallback_response.p,
			   r->fallback_response.n);
		caller_end_response(c, true);
	} else {
		answer_refusal(c, r->info.id, reason, retry_us, reading);
		caller_end_response(c, !reading);
	}
	request_free(r);
}

/* Of the latest response; "none" where no head has come. */
static const char *framing_name(const request_t *r)
{
	return r->response_head.status ? http1_framing_name(&r->response_head)
				       : "none";
}

void request_completed(request_t *r)
{
	caller_t *c = r->caller;
	bool failed = r->response_head.status >= 500;

	counter_add(CTR_ANSWERED, 1);
	hist_add(HIST_ANSWER, gateway_now(r->gw) - r->arrived_us);
	log_event(LOG_INFO, "ended", kv_s("id", r->info.id),
		  kv_s("route", r->route->name), kv_s("runner", r->runner),
		  kv_i("status", r->response_head.status),
		  kv_u("tries", r->n_asks), KV_C("framing", framing_name(r)),
		  kv_u("unfinished_bytes", r->unfinished_bytes),
		  kv_i("first_ms", r->first_byte_after_us / USEC_PER_MSEC),
		  kv_i("after_ms", since_arrival_ms(r)));
	if (!failed)
		crashes_note_answered(r);
	request_release_place(r, failed ? PLACE_FAILED : PLACE_ANSWERED);
	r->state = REQUEST_DONE;
	r->caller = NULL;
	c->req = NULL;
	request_free(r);
	caller_end_response(c, true);
}

/* Attempts. */

static void avoid_runner(request_t *r)
{
	if (r->n_avoid < ASKS_MAX)
		r->avoid[r->n_avoid++] = str_copy(r->runner);
}

static bool may_retry(const request_t *r, const attempt_end_t *end)
{
	if (r->n_asks >= ASKS_MAX ||
	    gateway_now(r->gw) + SEND_MARGIN_US * 2 >= r->deadline_us)
		return false;
	if (r->head_sent && !r->stream_build.n)
		return false;
	if (!end->sent)
		return !r->head_sent || r->route->resumable;
	if (!request_may_repeat(r) || r->n_possible_runs >= r->route->attempts)
		return false;
	if (r->event_split)
		return false;
	return !r->head_sent || (r->route->resumable && r->have_event_id);
}

void request_attempt_ended(request_t *r, const attempt_end_t *end)
{
	r->n_possible_runs += end->sent;
	request_release_place(r, end->outcome);
	log_event(LOG_INFO, "attempt_ended", kv_s("id", r->info.id),
		  kv_s("runner", r->runner), kv_x("digest", r->digest),
		  KV_C("outcome", place_outcome_name(end->outcome)),
		  kv_u("sent", end->sent),
		  kv_i("response_status", r->response_head.status),
		  kv_u("named", r->named), KV_C("framing", framing_name(r)),
		  kv_u("body_started", r->body_started),
		  kv_u("unfinished_bytes", r->unfinished_bytes),
		  KV_C("target_close", r->target_close ? r->target_close : ""),
		  kv_i("after_send_ms",
		       r->sent_us ? (gateway_now(r->gw) - r->sent_us) /
					    USEC_PER_MSEC
				  : -1),
		  kv_u("tries", r->n_asks), kv_u("retry", may_retry(r, end)),
		  kv_i("after_ms", since_arrival_ms(r)));
	if (!may_retry(r, end)) {
		request_refuse(r, end->reason, 0);
		return;
	}
	/*
	 * A runner that refused may be granted again: the dispatcher learns
	 * from the outcome when it can take requests.
	 */
	if (end->outcome != PLACE_NO_ADAPTER && end->outcome != PLACE_NOT_RUN)
		avoid_runner(r);
	counter_add_retried(end->sent ? RETRY_TARGET_LOST
				      : RETRY_TARGET_REFUSED);
	request_ask_for_place(r);
}

/*
 * When the dispatcher was last heard from, or asked by this request if that was
 * later: a dispatcher that nobody asks has nothing to send.
 */
static int64_t quiet_since_us(const request_t *r)
{
	int64_t heard_us = r->gw->dispatcher_heard_us;

	return heard_us > r->first_asked_us ? heard_us : r->first_asked_us;
}

static void on_request_timer(void *ctx, int64_t now)
{
	request_t *r = ctx;

	if (now >= r->deadline_us && r->state >= REQUEST_CONNECTING) {
		attempt_time_out(r);
		return;
	}
	if (r->state == REQUEST_CONNECTING && now >= r->connect_again_us)
		attempt_connect_again(r);
	if (r->state == REQUEST_READING_BODY && now >= r->deadline_us) {
		request_refuse(r, REASON_BODY_TIMEOUT, 0);
		return;
	}
	if (r->state == REQUEST_AWAITING_GRANT && now >= r->ask_deadline_us) {
		request_release_place(r, PLACE_UNUSED);
		request_refuse(r, REASON_NO_PLACE, 0);
		return;
	}
	if (r->state == REQUEST_AWAITING_GRANT &&
	    now >= request_next_ask_us(r)) {
		if (!r->ask_acked &&
		    now - quiet_since_us(r) >= DISPATCHER_SILENT_US)
			r->gw->ops.dispatcher_unresponsive(r->gw->ctx);
		request_send_ask(r);
	}
	request_arm_timer(r);
}

/* Requests of callers. */

/* The view of the next s.n bytes of head_text, which are a copy of s. */
static str_t copied_view(request_t *r, size_t *at, str_t s)
{
	str_t copy = str_n(r->head_text.p + *at, s.n);

	*at += s.n;
	return copy;
}

/* Copies the texts of the head that are needed after it is gone. */
static void copy_head_texts(request_t *r, const http1_head_t *h)
{
	str_t *texts[] = {&r->info.id, &r->info.host, &r->info.model,
			  &r->info.adapter, &r->info.resumed_stream};
	size_t at = 0;

	buf_put(&r->head_text, h->method.p, h->method.n);
	buf_put(&r->head_text, h->target.p, h->target.n);
	for (size_t i = 0; i < ARRAY_SIZE(texts); i++)
		buf_put(&r->head_text, texts[i]->p, texts[i]->n);
	r->method = copied_view(r, &at, h->method);
	r->target = copied_view(r, &at, h->target);
	for (size_t i = 0; i < ARRAY_SIZE(texts); i++)
		*texts[i] = copied_view(r, &at, *texts[i]);
}

static uint64_t next_random(gateway_t *g)
{
	g->rng_state = hash_bytes(&g->rng_state, sizeof(g->rng_state), 1);
	return g->rng_state;
}

/*
 * The service that the request goes to. Of a split route, a stream that is taken up
 * goes to the service that began it.
 */
static const service_t *pick_service(gateway_t *g, const route_t *route,
				     const request_info_t *info)
{
	str_t id = request_stream_id(info);
	uint64_t number = route->kind == ROUTE_STREAMING && id.n
				  ? hash_bytes(id.p, id.n, 0)
				  : next_random(g);

	return &g->manifest->services[route_pick_share(route, number)->index];
}

static request_t *request_new(caller_t *c, const http1_head_t *h,
			      const request_info_t *info, const route_t *route,
			      const organisation_t *org)
{
	gateway_t *g = c->gw;
	request_t *r = xcalloc(1, sizeof(*r));
	int64_t wait_us = route->timeout_us;

	r->gw = g;
	r->caller = c;
	r->manifest = manifest_ref(g->manifest);
	r->route = route;
	r->org = org;
	r->service = pick_service(g, route, info);
	r->info = *info;
	r->info.key =
		str_n(NULL, 0); /* not kept, so that nothing can show it */
	copy_head_texts(r, h);
	relay_copy_fields(&r->forwarded_fields, h,
			  g->manifest->n_orgs ? dialect_drops_field_of_org
					      : dialect_drops_field);
	request_note_stream(r);
	r->has_body = h->body_length > 0 || h->chunked ||
		      http1_field(h, STR("Content-Length")).n;
	r->arrived_us = gateway_now(g);
	if (info->left_us >= 0 && info->left_us < wait_us)
		wait_us = info->left_us;
	r->deadline_us = r->arrived_us + wait_us;
	timer_sub_init(&r->timer, on_request_timer, r);
	cds_list_add_tail(&r->node, &g->requests);
	g->n_requests++;
	c->req = r;
	counter_add(CTR_HTTP_REQUESTS, 1);
	return r;
}

/*
 * REASON_NONE, *route and *org (NULL: none is needed), or why the request is
 * refused.
 */
static reason_t admit(const gateway_t *g, const http1_head_t *h,
		      const request_info_t *info, const route_t **route,
		      const organisation_t **org)
{
	reason_t reason = g->ops.refusal_reason(g->ctx);
	str_t path, query;

	if (reason != REASON_NONE)
		return reason;
	if (!g->manifest)
		return REASON_NO_MANIFEST;
	if (!h->target.n || h->target.p[0] != '/')
		return REASON_BAD_REQUEST;
	str_split(h->target, '?', &path, &query);
	*route = manifest_find_route(g->manifest, info->host, path);
	if (!*route)
		return REASON_NO_ROUTE;
	if (g->manifest->n_orgs && !(*route)->is_public) {
		*org = manifest_find_org(g->manifest, info->key);
		if (!*org)
			return REASON_UNAUTHENTICATED;
	}
	if (h->body_length > (int64_t)g->manifest->limits.body_max)
		return REASON_BODY_TOO_LARGE;
	if (!gateway_has_room(g, h->body_length))
		return REASON_MEMORY_SHORT;
	return REASON_NONE;
}

static void on_request_head(void *ctx, const http1_head_t *h)
{
	caller_t *c = ctx;
	const route_t *route = NULL;
	const organisation_t *org = NULL;
	request_info_t info;
	reason_t reason;

	c->refused = false;
	c->may_reuse = h->keep_alive;
	dialect_read_request_head(h, &info);
	reason = admit(c->gw, h, &info, &route, &org);
	if (reason != REASON_NONE) {
		bool close =
			h->body_length != 0 || h->chunked || !h->keep_alive;

		log_refused(info.id, NULL, reason);
		answer_refusal(c, info.id, reason, 0, close);
		if (close) {
			http1_close_when_sent(c->conn);
			caller_free(c);
			return;
		}
		c->refused = true;
		return;
	}
	request_arm_timer(request_new(c, h, &info, route, org));
	if (http1_name_eq(http1_field(h, STR("Expect")), STR("100-continue")))
		http1_send(c->conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void on_request_body(void *ctx, str_t piece)
{
	caller_t *c = ctx;
	request_t *r = c->req;
	reason_t reason;

	if (!r)
		return;
	reason = request_body_put(r, piece);
	if (reason != REASON_NONE) {
		log_refused(r->info.id, r, reason);
		answer_refusal(c, r->info.id, reason, 0, true);
		r->caller = NULL;
		request_free(r);
		http1_close_when_sent(c->conn);
		caller_free(c);
	}
}

static void on_request_end(void *ctx)
{
	caller_t *c = ctx;

	if (c->req) {
		c->req->digest = request_digest(c->req);
		request_ask_for_place(c->req);
	} else if (c->refused) {
		caller_end_response(c, true);
	}
}

static const char *state_name(request_state_t s)
{
	static const char *const names[] = {
#define X(name, text) text,
		REQUEST_STATES(X)
#undef X
	};

	return names[s];
}

static void log_cancelled(const request_t *r)
{
	int64_t silent_us = attempt_silent_us(r);

	log_event(LOG_INFO, "cancelled", kv_s("id", r->info.id),
		  kv_s("route", r->route->name),
		  KV_C("state", state_name(r->state)),
		  kv_s("runner", r->runner),
		  kv_u("by_peer", r->by_peer ? r->via : 0),
		  kv_i("silent_ms",
		       silent_us < 0 ? -1 : silent_us / USEC_PER_MSEC),
		  kv_i("after_ms", since_arrival_ms(r)));
}

/* Cancels the request, also at its target, as the caller has gone. */
static void on_caller_closed(void *ctx, http1_close_reason_t why)
{
	caller_t *c = ctx;
	request_t *r = c->req;

	(void)why;
	if (r) {
		log_cancelled(r);
		r->caller = NULL;
		stop_begin(r);
		attempt_abort(r);
		request_release_place(r, PLACE_CANCELLED);
		counter_add_refused(REASON_CANCELLED);
		request_free(r);
	}
	caller_free(c);
}

static void on_caller_drained(void *ctx)
{
	caller_t *c = ctx;

	if (c->req)
		relay_resume_reading(c->req);
}

static const http1_ops_t caller_ops = {
	.head = on_request_head,
	.body = on_request_body,
	.message_end = on_request_end,
	.closed = on_caller_closed,
	.drained = on_caller_drained,
};

/* The process ends. */

void gateway_leave(gateway_t *g, int64_t last_send_us, int64_t end_us)
{
	g->last_send_us = last_send_us;
	g->end_us = end_us;
}

void gateway_refuse_late(gateway_t *g)
{
	request_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &g->requests, node) {
		if (r->state > REQUEST_AWAITING_GRANT ||
		    !request_comes_too_late(r))
			continue;
		request_release_place(r, PLACE_UNUSED);
		request_refuse(r, REASON_LEAVING, 0);
	}
}

static void end_request(request_t *r)
{
	bool sent = r->state >= REQUEST_SENT;

	attempt_abort(r);
	r->n_possible_runs += sent;
	request_release_place(r, sent ? PLACE_CANCELLED : PLACE_UNUSED);
	request_refuse(r, sent ? REASON_SHUTDOWN : REASON_LEAVING, 0);
}

void gateway_end_requests(gateway_t *g)
{
	request_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &g->requests, node)
		end_request(r);
}

/* Connections made while this host starts. */

static void arm_held_timer(gateway_t *g)
{
	timer_svc_arm(loop_timers(g->loop), &g->held_timer,
		      gateway_now(g) + HOLD_CHECK_US);
}

static void hold_caller(caller_t *c)
{
	gateway_t *g = c->gw;

	c->held_until_us = gateway_now(g) + HOLD_MAX_US;
	http1_pause_reading(c->conn, true);
	cds_list_add_tail(&c->held, &g->held);
	arm_held_timer(g);
}

/*
 * Reads from all held connections once requests are accepted, else from those
 * held for HOLD_MAX_US, whose requests are then refused.
 */
static void on_held_timer(void *ctx, int64_t now)
{
	gateway_t *g = ctx;
	bool accepts = g->ops.refusal_reason(g->ctx) == REASON_NONE;
	caller_t *c, *tmp;

	cds_list_for_each_entry_safe (c, tmp, &g->held, held) {
		if (!accepts && now < c->held_until_us)
			continue;
		cds_list_del(&c->held);
		CDS_INIT_LIST_HEAD(&c->held);
		http1_pause_reading(c->conn, false);
	}
	if (!cds_list_empty(&g->held))
		arm_held_timer(g);
}

static void *on_caller_accepted(void *ctx, http1_conn_t *conn)
{
	gateway_t *g = ctx;
	caller_t *c = xcalloc(1, sizeof(*c));

	c->gw = g;
	c->conn = conn;
	CDS_INIT_LIST_HEAD(&c->held);
	if (g->ops.refusal_reason(g->ctx) != REASON_NONE &&
	    g->ops.is_starting(g->ctx))
		hold_caller(c);
	return c;
}

gateway_t *gateway_new(loop_t *l, const gateway_cfg_t *cfg,
		       const gateway_ops_t *ops, void *ctx)
{
	gateway_t *g = xcalloc(1, sizeof(*g));

	g->loop = l;
	g->zone = str_copy(cfg->zone);
	g->ip = cfg->ip;
	g->tunnel_port = cfg->tunnel_port;
	g->secret = cfg->secret;
	g->rng_state = cfg->seed;
	g->last_ask_id = cfg->seed & 0xffffffffffff0000ull;
	g->last_send_us = g->end_us = INT64_MAX;
	g->ops = *ops;
	g->ctx = ctx;
	g->holdoff = holdoff_new();
	reach_init(g);
	gateway_streams_init(g);
	g->limits.head_max = HEAD_MAX;
	g->limits.head_timeout_us = HEAD_TIMEOUT_US;
	g->limits.idle_timeout_us = IDLE_TIMEOUT_US;
	CDS_INIT_LIST_HEAD(&g->requests);
	CDS_INIT_LIST_HEAD(&g->stops);
	CDS_INIT_LIST_HEAD(&g->held);
	timer_sub_init(&g->held_timer, on_held_timer, g);
	return g;
}

int gateway_listen(gateway_t *g, const struct sockaddr_in *addr)
{
	g->listener = http1_listen(g->loop, addr, &g->limits, &caller_ops,
				   on_caller_accepted, g);
	return g->listener ? 0 : -1;
}

bool gateway_drain(gateway_t *g)
{
	return !g->listener || http1_drain(g->listener);
}

void gateway_free(gateway_t *g)
{
	if (!g)
		return;
	timer_svc_cancel(loop_timers(g->loop), &g->held_timer);
	http1_unlisten(g->listener);
	manifest_unref(g->manifest);
	holdoff_free(g->holdoff);
	reach_free(g);
	stops_free(g);
	gateway_streams_free(g);
	crashes_free(g);
	named_limits_free(g);
	str_free(&g->zone);
	free(g);
}

void gateway_set_manifest(gateway_t *g, manifest_t *m)
{
	manifest_unref(g->manifest);
	g->manifest = manifest_ref(m);
	if (!m)
		return;
	g->limits.head_max = m->limits.head_max;
	g->limits.head_timeout_us = m->limits.head_timeout_us;
	g->limits.idle_timeout_us = m->limits.idle_timeout_us;
}

size_t gateway_active_requests(const gateway_t *g)
{
	return g->n_requests;
}
