/*
 * relay.c - answers of targets on their way to callers.
 *
 * An answer that is small is passed on once it is whole, so that a broken one
 * can still be tried again. Of a stream whole events are passed on as they
 * come, so that another target can go on after the last of them.
 */
#include "gateway_int.h"

#include <stdio.h>
#include <string.h>

#include <http_parser.h>

#include "hist.h"

/* Answers above this are passed on piece by piece. */
#define WHOLE_MAX (256u << 10)
/* An event beyond this is passed on in pieces. */
#define EVENT_MAX (256u << 10)
/* Bytes that a slow caller has not taken; the target is not read meanwhile. */
#define AHEAD_MAX (256u << 10)

static bool is_stream(const request_t *r)
{
	return r->route->kind == ROUTE_STREAMING && r->head.status == 200;
}

/* Fields of one connection only, and those that framing here sets anew. */
static bool is_hop_field(const http1_head_t *h, str_t name)
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
	str_t listed = http1_field(h, STR("Connection"));

	for (size_t i = 0; i < ARRAY_SIZE(names); i++)
		if (http1_name_eq(name, str_c(names[i])))
			return true;
	while (listed.n) {
		str_t one, rest;

		str_split(listed, ',', &one, &rest);
		listed = rest;
		while (one.n && one.p[0] == ' ')
			one = str_n(one.p + 1, one.n - 1);
		while (one.n && one.p[one.n - 1] == ' ')
			one.n--;
		if (http1_name_eq(name, one))
			return true;
	}
	return false;
}

void relay_copy_fields(buf_t *out, const http1_head_t *h,
		       bool (*drops)(str_t name))
{
	for (size_t i = 0; i < h->n_fields; i++) {
		const http1_field_t *f = &h->fields[i];

		if (is_hop_field(h, f->name) || (drops && drops(f->name)))
			continue;
		buf_printf(out, "%.*s: %.*s\r\n", STR_ARG(f->name),
			   STR_ARG(f->value));
	}
}

/* Whether the target's success can be what the target meant to say. */
static bool head_is_sound(const request_t *r, const http1_head_t *h)
{
	if (h->status / 100 != 2)
		return true;
	return r->proven && !http1_field(h, STR("Content-Encoding")).n;
}

void relay_head(request_t *r, const http1_head_t *h)
{
	r->head = *h;
	buf_reset(&r->answer);
	buf_reset(&r->event);
	if (!head_is_sound(r, h)) {
		r->head.status = 0; /* refused once it has ended */
		return;
	}
	buf_printf(&r->answer, "HTTP/1.1 %d %s\r\n", h->status,
		   http_status_str((enum http_status)h->status));
	relay_copy_fields(&r->answer, h, NULL);
	r->head.n_fields = 0; /* their texts do not outlive the head */
}

static bool may_have_body(const request_t *r)
{
	int status = r->head.status;

	return status != 204 && status != 304 &&
	       !str_eq(r->method, STR("HEAD"));
}

/* Ends the head of the answer; length -1: chunks follow. */
static void end_head(request_t *r, buf_t *out, int64_t length)
{
	r->chunked = length < 0;
	if (r->chunked)
		buf_puts(out, "Transfer-Encoding: chunked\r\n");
	else if (may_have_body(r) || length > 0)
		buf_printf(out, "Content-Length: %lld\r\n", (long long)length);
	if (!r->caller->keep || r->gw->ops.leaving(r->gw->ctx))
		buf_puts(out, "Connection: close\r\n");
	buf_puts(out, "\r\n");
}

static void put_piece(const request_t *r, buf_t *out, str_t piece)
{
	if (!piece.n)
		return;
	if (r->chunked)
		buf_printf(out, "%zx\r\n", piece.n);
	buf_put(out, piece.p, piece.n);
	if (r->chunked)
		buf_puts(out, "\r\n");
}

/* Passes on what may be, with the head before the first of it. */
static void pass_on(request_t *r, str_t piece, int64_t length)
{
	http1_conn_t *to = r->caller->conn;
	AUTO_BUF buf_t out = {0};

	if (!r->head_sent) {
		buf_put(&out, r->answer.p, r->answer.n);
		end_head(r, &out, length);
		buf_reset(&r->answer);
		r->head_sent = true;
		r->state = REQUEST_RELAYING;
	}
	put_piece(r, &out, piece);
	http1_send(to, out.p, out.n);
	if (r->conn && http1_unsent(to) > AHEAD_MAX)
		http1_pause(r->conn, true);
}

/* Bytes up to the end of the last whole event; 0: none. */
static size_t whole_events(str_t s)
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

/* Notes the last id among whole events. */
static void note_ids(request_t *r, str_t events)
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
		r->last_event = id;
		r->have_event = true;
	}
}

static void relay_events(request_t *r, str_t piece)
{
	size_t n;

	buf_put(&r->event, piece.p, piece.n);
	n = whole_events(buf_str(&r->event));
	if (!n && r->event.n > EVENT_MAX) {
		/* Memory for one request is bounded; it is not resumed then. */
		r->event_cut = true;
		n = r->event.n;
	} else if (n) {
		note_ids(r, str_n(r->event.p, n));
	}
	if (!n)
		return;
	pass_on(r, str_n(r->event.p, n), -1);
	buf_eat(&r->event, n);
}

void relay_body(request_t *r, str_t piece)
{
	if (!r->head.status)
		return;
	if (!r->started) {
		r->started = true;
		hist_add(HIST_TARGET, r->last_us - r->sent_us);
		if (!r->first_us) {
			r->first_us = r->last_us - r->arrived_us;
			hist_add(HIST_FIRST_EVENT, r->first_us);
		}
		request_started(r);
	}
	if (is_stream(r)) {
		relay_events(r, piece);
		return;
	}
	if (r->head_sent) {
		pass_on(r, piece, r->head.length);
		return;
	}
	buf_put(&r->event, piece.p, piece.n);
	if (r->event.n <= WHOLE_MAX)
		return;
	pass_on(r, buf_str(&r->event), r->head.length);
	buf_reset(&r->event);
}

static void fail(request_t *r, reason_t reason, place_outcome_t outcome)
{
	const attempt_end_t end = {outcome, true, reason};

	relay_reset(r);
	request_attempt_ended(r, &end);
}

static void send_last_chunk(const request_t *r)
{
	static const char last[] = "0\r\n\r\n";

	http1_send(r->caller->conn, last, sizeof(last) - 1);
}

static void end_stream(request_t *r)
{
	if (r->event.n)
		pass_on(r, buf_str(&r->event), -1);
	else if (!r->head_sent)
		pass_on(r, str_n(NULL, 0), -1);
	send_last_chunk(r);
	request_answered(r);
}

/* Another target may do better than one that failed. */
static bool try_another(const request_t *r)
{
	return r->head.status >= 500 && request_may_repeat(r) &&
	       r->runs + 1 < r->route->attempts && !r->head_sent;
}

static void end_whole(request_t *r)
{
	if (try_another(r)) {
		buf_reset(&r->spare);
		buf_put(&r->spare, r->answer.p, r->answer.n);
		end_head(r, &r->spare, (int64_t)r->event.n);
		buf_put(&r->spare, r->event.p, r->event.n);
		fail(r, REASON_TARGET_ERROR, PLACE_FAILED);
		return;
	}
	if (r->head_sent) {
		if (r->chunked)
			send_last_chunk(r);
	} else {
		pass_on(r, buf_str(&r->event), (int64_t)r->event.n);
	}
	request_answered(r);
}

void relay_end(request_t *r)
{
	if (!r->head.status)
		fail(r, REASON_TARGET_ERROR, PLACE_BROKEN);
	else if (r->head_sent && r->route->kind == ROUTE_STREAMING &&
		 !is_stream(r))
		fail(r, REASON_STREAM_TRUNCATED, PLACE_FAILED);
	else if (is_stream(r))
		end_stream(r);
	else
		end_whole(r);
}

void relay_reset(request_t *r)
{
	buf_reset(&r->answer);
	buf_reset(&r->event);
	r->started = false;
}
