/*
 * relay.c - relays the responses of targets to callers.
 *
 * A small response is sent to the caller only once it is complete, so that the
 * request can still be retried if it breaks. Of a stream, only complete events
 * are sent, each as soon as it is there, so that another target can resume
 * after the last of them.
 */
#include "gateway_int.h"

#include <stdio.h>
#include <string.h>

#include <http_parser.h>

#include "buffer_share.h"
#include "counter.h"
#include "hist.h"
#include "log.h"

/*
 * Bytes of one request's response that are held: an event or a response that is not whole,
 * and what waits for a slow caller. A larger event or success is sent in pieces, a larger
 * failure ends the attempt, and the target is not read while more waits.
 */
#define HELD_MAX (256u << 10)
/* The same where what is held of all responses is at its limit. */
#define HELD_MIN (16u << 10)
/* A buffer keeps so much memory once its bytes are sent. */
#define BUFFER_KEPT (4u << 10)
/* Longest end of an event, CR LF CR LF; it is never split between two pieces. */
#define EVENT_END_MAX 4u
static bool is_stream(const request_t *r)
{
	return r->route->kind == ROUTE_STREAMING &&
	       r->response_head.status == 200;
}

/* Fields that apply to one connection, and those that this daemon sets anew. */
static bool is_hop_by_hop(const http1_head_t *h, str_t name)
{
	static const char *const names[] = {"Connection",
					    "Keep-Alive",
					    "Proxy-Connection",
					    "TE",
					    "Trailer",
					    "Transfer-Encoding",
					    "Upgrade",
					    "Content-Length",
					    "Proxy-Authenticate",
					    "Expect",
					    "Proxy-Authorization"};
	str_t options = http1_field(h, STR("Connection"));

	for (size_t i = 0; i < ARRAY_SIZE(names); i++)
		if (http1_name_eq(name, str_c(names[i])))
			return true;
	while (options.n) {
		str_t option, rest;

		str_split(options, ',', &option, &rest);
		options = rest;
		while (option.n && option.p[0] == ' ')
			option = str_n(option.p + 1, option.n - 1);
		while (option.n && option.p[option.n - 1] == ' ')
			option.n--;
		if (http1_name_eq(name, option))
			return true;
	}
	return false;
}

void relay_copy_fields(buf_t *out, const http1_head_t *h,
		       bool (*drops)(str_t name))
{
	for (size_t i = 0; i < h->n_fields; i++) {
		const http1_field_t *f = &h->fields[i];

		if (is_hop_by_hop(h, f->name) || (drops && drops(f->name)))
			continue;
		buf_printf(out, "%.*s: %.*s\r\n", STR_ARG(f->name),
			   STR_ARG(f->value));
	}
}

static bool is_event_stream(const http1_head_t *h)
{
	const str_t type = STR("text/event-stream");
	str_t value = http1_field(h, STR("Content-Type"));

	/* Parameters may follow. */
	return value.n >= type.n && http1_name_eq(str_n(value.p, type.n), type);
}

/*
 * Whether the caller may get a response of a target that may have run the
 * request: a success has to bear the target's proof and no content coding, and
 * no other status may tell the caller that nothing has run. A stream that has
 * begun is continued by a success of the same type alone.
 */
static bool is_relayable(const request_t *r, const http1_head_t *h,
			 const response_info_t *info)
{
	if (r->head_sent &&
	    (h->status != 200 || is_event_stream(h) != r->event_stream))
		return false;
	if (h->status / 100 == 2)
		return info->has_proof &&
		       !http1_field(h, STR("Content-Encoding")).n;
	return !info->denies_run;
}

int relay_head(request_t *r, const http1_head_t *h, const response_info_t *info)
{
	buf_reset(&r->head_out);
	buf_reset(&r->body_out);
	r->event_relayed = false;
	r->event_open = false;
	if (!is_relayable(r, h, info))
		return -1;
	r->event_stream = is_event_stream(h);
	buf_printf(&r->head_out, "HTTP/1.1 %d %s\r\n", h->status,
		   http_status_str((enum http_status)h->status));
	relay_copy_fields(&r->head_out, h, NULL);
	return 0;
}

static bool may_have_body(const request_t *r)
{
	return http1_status_has_body(r->response_head.status) &&
	       !str_eq(r->method, STR("HEAD"));
}

/* Appends framing fields and the end of the head; length -1: chunked. */
static void finish_head(request_t *r, buf_t *out, int64_t length)
{
	r->chunked = length < 0;
	if (r->chunked)
		buf_puts(out, "Transfer-Encoding: chunked\r\n");
	else if (may_have_body(r) || length > 0)
		buf_printf(out, "Content-Length: %lld\r\n", (long long)length);
	if (!r->caller->may_reuse || r->gw->ops.is_draining(r->gw->ctx))
		buf_puts(out, "Connection: close\r\n");
	buf_puts(out, "\r\n");
}

static void append_body(const request_t *r, buf_t *out, str_t piece)
{
	if (!piece.n)
		return;
	if (r->chunked)
		buf_printf(out, "%zx\r\n", piece.n);
	buf_put(out, piece.p, piece.n);
	if (r->chunked)
		buf_puts(out, "\r\n");
}

void gateway_limit_unsent(gateway_t *g, size_t bytes)
{
	g->unsent_max = bytes;
	g->heads.max = bytes;
}

size_t gateway_unsent_bytes(const gateway_t *g)
{
	return http1_listener_unsent(g->listener) + g->held_bytes +
	       g->heads.bytes;
}

static size_t held_max(const gateway_t *g)
{
	return buffer_share(gateway_unsent_bytes(g), g->unsent_max, HELD_MAX,
			    HELD_MIN);
}

void relay_count_held(request_t *r)
{
	size_t n = r->body_out.cap + r->fallback_response.cap;

	r->gw->held_bytes += n - r->held_bytes;
	r->held_bytes = n;
}

/*
 * Sends a piece of the body, after the head where this is the first one.
 * length is that of the whole body, -1 where it is not known.
 */
static void send_to_caller(request_t *r, str_t piece, int64_t length)
{
	http1_conn_t *to = r->caller->conn;
	AUTO_BUF buf_t out = {0};

	if (!r->head_sent) {
		buf_put(&out, r->head_out.p, r->head_out.n);
		finish_head(r, &out, length);
		buf_reset(&r->head_out);
		r->head_sent = true;
		r->state = REQUEST_RELAYING;
		r->relayed_status = r->response_head.status;
		counter_add_response(r->relayed_status, RESPONSE_BY_TARGET);
	}
	append_body(r, &out, piece);
	http1_send(to, out.p, out.n);
	if (!r->conn || http1_unsent_bytes(to) <= held_max(r->gw))
		return;
	counter_add(CTR_STREAMS_HELD_BACK, !r->held_back);
	r->held_back = true;
	r->was_held_back = true;
	http1_pause_reading(r->conn, true);
	event_gaps_skip(&r->event_gaps);
}

void relay_resume_reading(request_t *r)
{
	if (!r->conn)
		return;
	/* The pause is the caller's, not the target's. */
	if (r->held_back)
		r->last_byte_us = gateway_now(r->gw);
	r->held_back = false;
	http1_pause_reading(r->conn, false);
}

/* Bytes up to the end of the last complete event; 0: there is none. */
static size_t complete_events_len(str_t s)
{
	for (size_t i = s.n; i >= 2; i--) {
		if (s.p[i - 1] != '\n')
			continue;
		if (s.p[i - 2] == '\n')
			return i;
		if (i >= 4 && memcmp(s.p + i - 4, "\r\n\r\n", 4) == 0)
			return i;
	}
	return 0;
}

/* Records the last id among complete events. */
static void record_last_event_id(request_t *r, str_t events)
{
	while (events.n) {
		str_t line, rest;
		uint64_t id;

		str_split(events, '\n', &line, &rest);
		events = rest;
		if (line.n && line.p[line.n - 1] == '\r')
			line.n--;
		if (line.n < 3 || memcmp(line.p, "id:", 3) != 0)
			continue;
		line = str_n(line.p + 3, line.n - 3);
		if (line.n && line.p[0] == ' ')
			line = str_n(line.p + 1, line.n - 1);
		if (str_to_u64(line, &id) < 0)
			continue;
		r->last_event_id = id;
		r->have_event_id = true;
	}
}

static void note_split(request_t *r)
{
	if (r->event_split)
		return;
	r->event_split = true;
	counter_add(CTR_EVENTS_SPLIT, 1);
	log_event(LOG_NOTICE, "event_split", kv_s("id", r->info.id),
		  kv_s("runner", r->runner), kv_u("bytes", r->body_out.n),
		  kv_u("held", gateway_unsent_bytes(r->gw)));
}

static void relay_events(request_t *r, str_t piece)
{
	size_t n;

	buf_put(&r->body_out, piece.p, piece.n);
	relay_count_held(r);
	n = complete_events_len(buf_str(&r->body_out));
	if (!n && r->body_out.n > held_max(r->gw)) {
		/*
		 * Bounds the memory for one request. A stream with a split
		 * event cannot be resumed.
		 */
		note_split(r);
		r->event_open = true;
		n = r->body_out.n - EVENT_END_MAX;
	} else if (n) {
		record_last_event_id(r, str_n(r->body_out.p, n));
		r->event_relayed = true;
		event_gaps_record(&r->event_gaps, r->last_byte_us);
		r->event_open = false;
	}
	if (!n)
		return;
	send_to_caller(r, str_n(r->body_out.p, n), -1);
	buf_consume(&r->body_out, n);
	buf_trim(&r->body_out, BUFFER_KEPT);
	relay_count_held(r);
}

void relay_body(request_t *r, str_t piece)
{
	if (!r->body_started) {
		r->body_started = true;
		r->body_started_us = r->last_byte_us;
		hist_add(HIST_TARGET, r->last_byte_us - r->sent_us);
		if (!r->first_byte_after_us) {
			r->first_byte_after_us =
				r->last_byte_us - r->arrived_us;
			hist_add(HIST_FIRST_EVENT, r->first_byte_after_us);
		}
		request_report_started(r);
	}
	if (is_stream(r)) {
		relay_events(r, piece);
		return;
	}
	if (r->head_sent) {
		send_to_caller(r, piece, r->response_head.body_length);
		return;
	}
	buf_put(&r->body_out, piece.p, piece.n);
	relay_count_held(r);
	if (r->body_out.n <= held_max(r->gw))
		return;
	if (r->response_head.status / 100 != 2) {
		attempt_end(r, PLACE_FAILED, true, REASON_TARGET_ERROR);
		return;
	}
	send_to_caller(r, buf_str(&r->body_out), r->response_head.body_length);
	buf_free(&r->body_out);
	relay_count_held(r);
}

static void send_last_chunk(const request_t *r)
{
	static const char last[] = "0\r\n\r\n";

	http1_send(r->caller->conn, last, sizeof(last) - 1);
}

/* Of the event inside which the stream has ended; empty lines are no event. */
static size_t unfinished_event_bytes(const request_t *r)
{
	for (size_t i = 0; i < r->body_out.n; i++)
		if (r->body_out.p[i] != '\r' && r->body_out.p[i] != '\n')
			return r->body_out.n;
	return 0;
}

/*
 * The framing tells that no more bytes come, not that the target has sent all
 * events. One that broke off leaves an event unfinished or, where only the close
 * of its connection ends the stream, may have sent none.
 */
static bool stream_is_whole(const request_t *r)
{
	if (r->event_open || r->unfinished_bytes)
		return false;
	return r->event_relayed || !http1_ends_with_conn(&r->response_head);
}

static void end_stream(request_t *r)
{
	if (!stream_is_whole(r)) {
		if (http1_ends_with_conn(&r->response_head))
			crashes_note_close(r, HTTP1_PEER_CLOSED);
		attempt_end(r, PLACE_BROKEN, true, REASON_STREAM_TRUNCATED);
		return;
	}
	if (r->body_out.n || !r->head_sent)
		send_to_caller(r, buf_str(&r->body_out), -1);
	send_last_chunk(r);
	request_completed(r);
}

/* Whether to retry after a 5xx response, as another target may succeed. */
static bool should_try_another(const request_t *r)
{
	return r->response_head.status >= 500 && request_may_repeat(r) &&
	       r->n_possible_runs + 1 < r->route->attempts && !r->head_sent;
}

static void end_response(request_t *r)
{
	if (should_try_another(r)) {
		r->relayed_status = r->response_head.status;
		buf_reset(&r->fallback_response);
		buf_put(&r->fallback_response, r->head_out.p, r->head_out.n);
		finish_head(r, &r->fallback_response, (int64_t)r->body_out.n);
		buf_put(&r->fallback_response, r->body_out.p, r->body_out.n);
		relay_count_held(r);
		attempt_end(r, PLACE_FAILED, true, REASON_TARGET_ERROR);
		return;
	}
	if (r->head_sent) {
		if (r->chunked)
			send_last_chunk(r);
	} else {
		send_to_caller(r, buf_str(&r->body_out),
			       (int64_t)r->body_out.n);
	}
	request_completed(r);
}

void relay_note_end(request_t *r)
{
	if (!is_stream(r))
		return;
	r->unfinished_bytes = unfinished_event_bytes(r);
	if (r->unfinished_bytes || r->event_open)
		counter_add(CTR_STREAMS_ENDED_MIDWAY, 1);
}

/* The stream's longest pause as a part of the one that its route allows. */
static uint32_t pause_permille(const request_t *r)
{
	if (!r->route->event_gap_us)
		return 0;
	return (uint32_t)(r->longest_pause_us * 1000 / r->route->event_gap_us);
}

void relay_tell_pauses(const request_t *r, Dispatch__Done *done)
{
	const event_gaps_t *g = &r->event_gaps;

	done->pause_permille = pause_permille(r);
	done->event_gap_us = event_gaps_median(g);
	done->longest_pause_us = g->longest_us;
	if (g->longest_us)
		done->pause_ago_us = gateway_now(r->gw) - g->longest_end_us;
}

void relay_end(request_t *r)
{
	relay_note_end(r);
	if (is_stream(r))
		end_stream(r);
	else
		end_response(r);
}

void relay_reset(request_t *r)
{
	buf_reset(&r->head_out);
	buf_free(&r->body_out);
	relay_count_held(r);
}
