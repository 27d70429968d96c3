/* http.c - HTTP server for callers; streams the answers of the serving core. */
#include "http.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>
#include <sodium.h>
#include <urcu/list.h>

#include "counter.h"
#include "http1.h"
#include "log.h"

#define SHARDS 64u
#define CALLER_CHECK_MS 250 /* time between checks that a caller still waits */
#define STOP_TICK_MS 10
#define STOP_MAX_MS 2000 /* longest wait at the end for the last responses */
#define REQUEST_ID_MAX 128u
#define IDEMPOTENCY_KEY_MAX 255u
#define NAME_BYTES_MAX 256u /* of a model's or service's name */
#define PRIORITY_MAX 1000
#define DEADLINE_MAX_MS 86400000u
#define ADDRESSES_MAX 8u
#define BYTES_PER_TOKEN 4u     /* to estimate the tokens of a prompt */
#define DEFAULT_MAX_TOKENS 16u /* if a completion has no max_tokens */
#define PREFIX_BYTES 256u      /* of a prompt, covered by prefix_hash */
#define COMPLETIONS_PATH "/v1/completions"
#define CALL_PREFIX "/v1/call/"

/*
 * Buffers the answer to one request: the core fills it, and the connection
 * thread sends it. Guarded by the lock of its shard.
 */
typedef struct answer {
	struct cds_list_head node;
	uint64_t handle;
	pthread_cond_t changed;
	buf_t data;    /* bytes not yet taken by the connection thread */
	bool has_head; /* REPLY_HEAD has arrived */
	bool final;    /* no further reply follows */
	bool cut_off;  /* the caller read too slowly and was cut off */
	int status;    /* from the head, like the fields up to replayed */
	char *adapter; /* owned */
	target_id_t target;
	host_id_t owner;
	uint32_t attempt;
	bool replayed;
	reason_t reason; /* valid if final; REASON_NONE: a complete answer */
	run_state_t run; /* whether the request has run */
	uint32_t retry_ms;
	char *detail; /* owned */
} answer_t;

typedef struct shard {
	pthread_mutex_t lock;
	struct cds_list_head answers;
} shard_t;

struct http {
	http_cfg_t cfg;
	http_ops_t ops;
	void *ctx;
	httpd_t *port;
	atomic_uint_fast64_t next_handle;
	atomic_size_t active;
	shard_t shards[SHARDS];
};

/* One HTTP request, on the thread of its connection. */
typedef struct request {
	http_t *h;
	struct mg_connection *conn;
	serve_req_t req;
	buf_t body; /* as received; empty once doc is parsed */
	/* The completion without "model", for req.body; owned. */
	char *core_body;
	json_t *doc; /* the parsed completion, until core_body is made */
	bool stream; /* the response is SSE */
	bool head_sent;
	bool has_body; /* the response, once its head is sent */
	int fd;	       /* the connection's socket; -1: not looked up yet */
	char id[REQUEST_ID_MAX + 1];
} request_t;

static shard_t *shard_of(http_t *h, uint64_t handle)
{
	return &h->shards[handle % SHARDS];
}

static void send_error(request_t *rq, reason_t reason, run_state_t run_state,
		       uint32_t retry_ms, str_t detail)
{
	AUTO_BUF buf_t body = {0};
	AUTO_BUF buf_t headers = {0};

	httpd_error_json(&body, reason, run_state, retry_ms, detail);
	if (retry_ms)
		buf_printf(&headers, "Retry-After: %u\r\n",
			   (retry_ms + 999) / 1000);
	if (rq->id[0])
		buf_printf(&headers, "X-Request-Id: %s\r\n", rq->id);
	httpd_send_response(rq->conn, reason_info(reason)->http_status,
			    "application/json", buf_str(&headers),
			    buf_str(&body));
}

/* Refuses a request that has not been handed to the core. */
static void refuse(request_t *rq, reason_t reason, const char *detail)
{
	const reason_info_t *info = reason_info(reason);

	counter_add_refused(reason);
	send_error(rq, reason, info->run_state, info->retry_ms, str_c(detail));
}

static bool is_printable(str_t s)
{
	for (size_t i = 0; i < s.n; i++)
		if (s.p[i] <= ' ' || s.p[i] > '~')
			return false;
	return true;
}

/* Reads a header that may be absent; false if it is no number up to max. */
static bool read_number_header(request_t *rq, const char *name, uint64_t max,
			       uint64_t *out)
{
	str_t value = httpd_header(rq->conn, name);

	if (!value.n)
		return true;
	return str_to_u64(value, out) == 0 && *out <= max;
}

static bool read_priority_header(request_t *rq)
{
	str_t value = httpd_header(rq->conn, "X-Priority");
	bool negative = value.n && value.p[0] == '-';
	uint64_t magnitude;

	if (!value.n)
		return true;
	if (negative) {
		value.p++;
		value.n--;
	}
	if (str_to_u64(value, &magnitude) < 0 || magnitude > PRIORITY_MAX)
		return false;
	rq->req.priority = negative ? -(int32_t)magnitude : (int32_t)magnitude;
	return true;
}

static void generate_request_id(request_t *rq)
{
	unsigned char raw[16];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(rq->id, sizeof(rq->id), raw, sizeof(raw));
}

static bool read_id_headers(request_t *rq)
{
	str_t id = httpd_header(rq->conn, "X-Request-Id");
	str_t key = httpd_header(rq->conn, "Idempotency-Key");
	str_t not_repeatable_text = httpd_header(rq->conn, "X-Not-Repeatable");

	if (id.n > REQUEST_ID_MAX || !is_printable(id) ||
	    key.n > IDEMPOTENCY_KEY_MAX || !is_printable(key))
		return false;
	if (not_repeatable_text.n && !str_eq(not_repeatable_text, STR("1")) &&
	    !str_eq(not_repeatable_text, STR("0")))
		return false;
	if (id.n)
		memcpy(rq->id, id.p, id.n);
	else
		generate_request_id(rq);
	rq->req.request_id = str_c(rq->id);
	rq->req.idempotency_key = key;
	rq->req.not_repeatable = str_eq(not_repeatable_text, STR("1"));
	return true;
}

static bool read_headers(request_t *rq)
{
	uint64_t deadline_ms = 0;

	if (!read_id_headers(rq)) {
		rq->id[0] = '\0';
		refuse(rq, REASON_BAD_REQUEST,
		       "X-Request-Id, Idempotency-Key or X-Not-Repeatable is "
		       "malformed.");
		return false;
	}
	if (!read_number_header(rq, "X-Deadline-Ms", DEADLINE_MAX_MS,
				&deadline_ms) ||
	    !read_number_header(rq, "X-Resume-Offset", INT64_MAX,
				&rq->req.resume_offset) ||
	    !read_priority_header(rq)) {
		refuse(rq, REASON_BAD_REQUEST,
		       "X-Deadline-Ms, X-Resume-Offset or X-Priority is not a "
		       "number in range.");
		return false;
	}
	if (deadline_ms)
		rq->req.deadline_us = rq->h->ops.now_us(rq->h->ctx) +
				      (int64_t)deadline_ms * USEC_PER_MSEC;
	return true;
}

static bool authenticate(request_t *rq)
{
	str_t token = httpd_bearer_token(rq->conn);
	decided_t *d = rq->h->ops.tables(rq->h->ctx);
	const org_t *org = token.n && d ? decided_org_by_token(d, token) : NULL;
	reason_t reason;

	if (org)
		rq->req.org_id = org->id;
	decided_unref(d);
	if (org)
		return true;
	/* Without confirmed tables an unknown token may still be valid. */
	reason = rq->h->ops.refusal_reason(rq->h->ctx);
	refuse(rq, reason == REASON_STALE ? reason : REASON_UNAUTHENTICATED,
	       "");
	return false;
}

static bool read_body(request_t *rq)
{
	reason_t reason =
		httpd_read_body(rq->conn, rq->h->cfg.body_max,
				rq->h->cfg.body_timeout_ms, &rq->body);

	if (reason == REASON_NONE)
		return true;
	refuse(rq, reason, "");
	httpd_abort(rq->conn);
	return false;
}

static uint32_t estimate_tokens(const json_t *prompt)
{
	size_t bytes = 0;
	const json_t *item;
	size_t i;

	if (json_is_string(prompt))
		return (uint32_t)(json_string_length(prompt) / BYTES_PER_TOKEN +
				  1);
	json_array_foreach(prompt, i, item) bytes +=
		json_is_string(item) ? json_string_length(item)
				     : BYTES_PER_TOKEN;
	return (uint32_t)(bytes / BYTES_PER_TOKEN + 1);
}

static uint64_t prefix_hash(const json_t *prompt)
{
	size_t n = json_string_length(prompt);

	if (n < PREFIX_BYTES)
		return 0;
	return hash_bytes(json_string_value(prompt), PREFIX_BYTES, 0);
}

/* Returns why the body of a completion is invalid; NULL if it is valid. */
static const char *check_completion(request_t *rq)
{
	json_t *model = json_object_get(rq->doc, "model");
	json_t *prompt = json_object_get(rq->doc, "prompt");
	json_t *max = json_object_get(rq->doc, "max_tokens");
	json_t *stream = json_object_get(rq->doc, "stream");

	if (!json_is_object(rq->doc))
		return "The body is not a JSON object.";
	if (!json_is_string(model) || !json_string_length(model) ||
	    json_string_length(model) > NAME_BYTES_MAX)
		return "model: expected a name of 1 to 256 bytes.";
	if (!json_is_string(prompt) && !json_is_array(prompt))
		return "prompt: expected a string or an array.";
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1 ||
		    json_integer_value(max) > INT32_MAX))
		return "max_tokens: expected a positive integer.";
	if (stream && !json_is_boolean(stream))
		return "stream: expected true or false.";
	return NULL;
}

static bool parse_completion(request_t *rq)
{
	const char *error;
	json_t *prompt;
	json_t *max;

	rq->doc = json_loadb(rq->body.p, rq->body.n, JSON_REJECT_DUPLICATES,
			     NULL);
	buf_free(&rq->body);
	error = check_completion(rq);
	if (error) {
		refuse(rq, REASON_BAD_REQUEST, error);
		return false;
	}
	prompt = json_object_get(rq->doc, "prompt");
	max = json_object_get(rq->doc, "max_tokens");
	rq->stream = json_is_true(json_object_get(rq->doc, "stream"));
	rq->req.prompt_tokens = estimate_tokens(prompt);
	rq->req.prefix_hash = prefix_hash(prompt);
	rq->req.max_tokens =
		max ? (uint32_t)json_integer_value(max) : DEFAULT_MAX_TOKENS;
	return true;
}

/* Moves the model's name out of the body; the core gets the rest as text. */
static void split_model(request_t *rq, buf_t *model)
{
	json_t *name = json_object_get(rq->doc, "model");

	buf_put(model, json_string_value(name), json_string_length(name));
	json_object_del(rq->doc, "model");
	rq->core_body = json_dumps(rq->doc, JSON_COMPACT);
	json_decref(rq->doc);
	rq->doc = NULL;
	rq->req.model = buf_str(model);
	rq->req.body = str_c(rq->core_body);
}

static answer_t *find_answer(shard_t *s, uint64_t handle)
{
	answer_t *answer;

	cds_list_for_each_entry (answer, &s->answers, node)
		if (answer->handle == handle)
			return answer;
	return NULL;
}

static void add_answer(http_t *h, answer_t *answer)
{
	shard_t *s;
	pthread_condattr_t attr;

	answer->handle = atomic_fetch_add(&h->next_handle, 1) + 1;
	s = shard_of(h, answer->handle);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&answer->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_lock(&s->lock);
	cds_list_add(&answer->node, &s->answers);
	pthread_mutex_unlock(&s->lock);
}

static void remove_answer(http_t *h, answer_t *answer)
{
	shard_t *s = shard_of(h, answer->handle);

	pthread_mutex_lock(&s->lock);
	cds_list_del(&answer->node);
	pthread_mutex_unlock(&s->lock);
	pthread_cond_destroy(&answer->changed);
	buf_free(&answer->data);
	free(answer->adapter);
	free(answer->detail);
}

static void store_head(answer_t *answer, const serve_reply_t *reply)
{
	answer->has_head = true;
	answer->status = reply->http_status;
	free(answer->adapter);
	answer->adapter = str_dup(reply->adapter);
	answer->target = reply->target;
	answer->owner = reply->owner;
	answer->attempt = reply->attempt;
	answer->replayed = reply->replayed;
}

static void store_failure(answer_t *answer, const serve_reply_t *reply)
{
	answer->final = true;
	answer->reason = reply->reason;
	answer->run = reply->run_state;
	answer->retry_ms = reply->retry_ms;
	answer->detail = str_dup(reply->detail);
}

/* Ends the answer to a caller that has more than reader_buffer_max to read. */
static void cut_off_slow_caller(http_t *h, answer_t *answer)
{
	answer->cut_off = true;
	answer->final = true;
	answer->reason = REASON_SLOW_READER;
	answer->run = RUN_YES;
	buf_free(&answer->data);
	h->ops.cancel(h->ctx, answer->handle);
}

void http_reply(http_t *h, uint64_t handle, const serve_reply_t *reply)
{
	shard_t *s = shard_of(h, handle);
	answer_t *answer;

	pthread_mutex_lock(&s->lock);
	answer = find_answer(s, handle);
	if (!answer || answer->final) {
		pthread_mutex_unlock(&s->lock);
		return;
	}
	switch (reply->kind) {
	case REPLY_HEAD:
		store_head(answer, reply);
		break;
	case REPLY_CHUNK:
		if (answer->data.n + reply->data.n > h->cfg.reader_buffer_max)
			cut_off_slow_caller(h, answer);
		else
			buf_put(&answer->data, reply->data.p, reply->data.n);
		break;
	case REPLY_DONE:
		if (!answer->has_head)
			store_head(answer, reply);
		answer->final = true;
		break;
	case REPLY_FAIL:
		store_failure(answer, reply);
		break;
	}
	pthread_cond_signal(&answer->changed);
	pthread_mutex_unlock(&s->lock);
}

static void put_name_header(buf_t *out, const char *header, str_t name)
{
	if (name.n && is_printable(name))
		buf_printf(out, "%s: %.*s\r\n", header, STR_ARG(name));
}

static void put_answer_headers(request_t *rq, const answer_t *answer,
			       buf_t *out)
{
	decided_t *d = rq->h->ops.tables(rq->h->ctx);
	const target_t *target = d ? decided_target(d, answer->target) : NULL;
	const host_t *owner = d ? decided_host(d, answer->owner) : NULL;

	buf_printf(out, "X-Request-Id: %s\r\n", rq->id);
	put_name_header(out, "X-Adapter", str_c(answer->adapter));
	if (target)
		put_name_header(out, "X-Target", target->name);
	if (owner)
		put_name_header(out, "X-Owner", owner->name);
	buf_printf(out, "X-Attempt: %u\r\n", answer->attempt);
	if (answer->replayed)
		buf_puts(out, "X-Replayed: 1\r\n");
	decided_unref(d);
}

static int send_head(request_t *rq, const answer_t *answer)
{
	AUTO_BUF buf_t headers = {0};
	int status = answer->status ? answer->status : 200;
	const char *type =
		rq->stream ? "text/event-stream" : "application/json";

	rq->head_sent = true;
	rq->has_body = http1_status_has_body(status);
	put_answer_headers(rq, answer, &headers);
	if (!rq->has_body)
		return httpd_send_head(rq->conn, status, type,
				       buf_str(&headers));
	return httpd_begin_chunked(rq->conn, status, type, buf_str(&headers));
}

/*
 * Waits until there is something to send. False if the caller has closed the
 * connection. Called with the shard's lock held, which it releases meanwhile.
 */
static bool wait_for_change(request_t *rq, shard_t *s, answer_t *answer)
{
	while (!answer->data.n && !answer->final &&
	       !(answer->has_head && !rq->head_sent)) {
		struct timespec until;

		clock_gettime(CLOCK_MONOTONIC, &until);
		until.tv_nsec += CALLER_CHECK_MS * 1000000L;
		until.tv_sec += until.tv_nsec / 1000000000L;
		until.tv_nsec %= 1000000000L;
		if (pthread_cond_timedwait(&answer->changed, &s->lock,
					   &until) != ETIMEDOUT)
			continue;
		pthread_mutex_unlock(&s->lock);
		if (rq->fd < 0)
			rq->fd = httpd_find_socket(rq->conn);
		if (httpd_peer_closed(rq->fd)) {
			pthread_mutex_lock(&s->lock);
			return false;
		}
		pthread_mutex_lock(&s->lock);
	}
	return true;
}

/*
 * Reports a failure after the head was sent: as an event of a stream, else by
 * dropping the connection without the end of the body.
 */
static void send_error_after_head(request_t *rq, const answer_t *answer)
{
	AUTO_BUF buf_t event = {0};

	if (!rq->stream) {
		httpd_abort(rq->conn);
		return;
	}
	/* The blank line ends an event that may have been cut off. */
	buf_puts(&event, "\n\nevent: error\ndata: ");
	httpd_error_json(&event, answer->reason, answer->run, answer->retry_ms,
			 str_c(answer->detail));
	buf_puts(&event, "\n\n");
	if (httpd_send_chunk(rq->conn, buf_str(&event)) < 0 ||
	    httpd_send_chunk(rq->conn, str_n(NULL, 0)) < 0)
		httpd_abort(rq->conn);
}

static void finish_response(request_t *rq, answer_t *answer)
{
	if (answer->cut_off) {
		counter_add_refused(REASON_SLOW_READER);
		log_event(LOG_NOTICE, "slow_reader_disconnected",
			  KV_C("request", rq->id));
		httpd_abort(rq->conn);
	} else if (answer->reason == REASON_NONE) {
		if (rq->has_body)
			httpd_send_chunk(rq->conn, str_n(NULL, 0));
	} else if (rq->head_sent) {
		send_error_after_head(rq, answer);
	} else {
		send_error(rq, answer->reason, answer->run, answer->retry_ms,
			   str_c(answer->detail));
	}
}

/* Relays replies up to the final one. False if the caller is gone. */
static bool relay_answer(request_t *rq, answer_t *answer)
{
	shard_t *s = shard_of(rq->h, answer->handle);
	bool ok = true;
	bool final = false;

	while (ok && !final) {
		AUTO_BUF buf_t data = {0};
		bool has_head;

		pthread_mutex_lock(&s->lock);
		ok = wait_for_change(rq, s, answer);
		data = answer->data;
		memset(&answer->data, 0, sizeof(answer->data));
		final = answer->final;
		has_head = answer->has_head;
		pthread_mutex_unlock(&s->lock);
		if (ok && has_head && !rq->head_sent)
			ok = send_head(rq, answer) == 0;
		if (ok && data.n && rq->has_body)
			ok = httpd_send_chunk(rq->conn, buf_str(&data)) == 0;
	}
	return ok;
}

static bool is_cut_off(http_t *h, const answer_t *answer)
{
	shard_t *s = shard_of(h, answer->handle);
	bool cut_off;

	pthread_mutex_lock(&s->lock);
	cut_off = answer->cut_off;
	pthread_mutex_unlock(&s->lock);
	return cut_off;
}

/* Submits the request to the core and relays the answer to the caller. */
static void submit_and_relay(request_t *rq)
{
	answer_t answer = {0};

	add_answer(rq->h, &answer);
	rq->req.handle = answer.handle;
	rq->h->ops.submit(rq->h->ctx, &rq->req);
	if (relay_answer(rq, &answer) || is_cut_off(rq->h, &answer))
		finish_response(rq, &answer);
	else
		rq->h->ops.cancel(rq->h->ctx, answer.handle);
	remove_answer(rq->h, &answer);
}

static void handle_completion(request_t *rq)
{
	AUTO_BUF buf_t model = {0};

	if (!read_body(rq) || !read_headers(rq) || !authenticate(rq) ||
	    !parse_completion(rq))
		return;
	split_model(rq, &model);
	submit_and_relay(rq);
}

static bool is_valid_path(str_t path)
{
	for (size_t i = 0; i < path.n; i++)
		if (!strchr("-._~/:@=+,", path.p[i]) &&
		    !(path.p[i] >= '0' && path.p[i] <= '9') &&
		    !(path.p[i] >= 'A' && path.p[i] <= 'Z') &&
		    !(path.p[i] >= 'a' && path.p[i] <= 'z'))
			return false;
	return true;
}

static void handle_service_call(request_t *rq, str_t rest)
{
	const char *slash = memchr(rest.p, '/', rest.n);
	size_t n = slash ? (size_t)(slash - rest.p) : rest.n;

	if (!read_body(rq) || !read_headers(rq) || !authenticate(rq))
		return;
	if (!n || n > NAME_BYTES_MAX || !is_valid_path(rest)) {
		refuse(rq, REASON_BAD_REQUEST,
		       "The path names no service or holds other characters "
		       "than letters, digits and -._~/:@=+,");
		return;
	}
	rq->req.is_call = true;
	rq->req.service = str_n(rest.p, n);
	rq->req.path = rest.n > n ? str_n(rest.p + n, rest.n - n) : STR("/");
	rq->req.body = buf_str(&rq->body);
	submit_and_relay(rq);
}

static void handle_addresses(request_t *rq)
{
	AUTO_BUF buf_t model = {0};
	AUTO_BUF buf_t body = {0};
	serve_addr_t addrs[ADDRESSES_MAX];
	reason_t reason = rq->h->ops.refusal_reason(rq->h->ctx);
	decided_t *d = NULL;
	size_t n;

	if (!httpd_query_param(rq->conn, "model", &model)) {
		refuse(rq, REASON_BAD_REQUEST, "The query names no model.");
		return;
	}
	/* A draining daemon can still name others; a stale one cannot. */
	if (reason == REASON_STALE) {
		refuse(rq, reason, "");
		return;
	}
	n = rq->h->ops.addresses(rq->h->ctx, buf_str(&model), addrs,
				 ADDRESSES_MAX, &d);
	buf_puts(&body, "{\"addresses\":[");
	for (size_t i = 0; i < n; i++)
		buf_printf(&body, "%s\"%.*s\"", i ? "," : "",
			   STR_ARG(addrs[i].addr));
	buf_printf(&body, "],\"ttl_ms\":%lld}\n",
		   (long long)rq->h->cfg.address_ttl_ms);
	decided_unref(d);
	if (!n) {
		refuse(rq, REASON_NO_OWNER, "No live daemon is known.");
		return;
	}
	counter_add(CTR_HTTP_ADDRESS_ANSWERS, 1);
	httpd_send_response(rq->conn, 200, "application/json", str_n(NULL, 0),
			    buf_str(&body));
}

static void send_not_found(request_t *rq)
{
	str_t body = STR("{\"error\":{\"reason\":\"bad_request\",\"run\":"
			 "\"no\",\"retry_after_ms\":0,\"detail\":\"No such "
			 "path, or another method.\"}}");

	counter_add_refused(REASON_BAD_REQUEST);
	httpd_send_response(rq->conn, 404, "application/json", str_n(NULL, 0),
			    body);
	httpd_abort(rq->conn);
}

static void route_request(request_t *rq)
{
	const struct mg_request_info *info = mg_get_request_info(rq->conn);
	str_t method = str_c(info->request_method);
	str_t path = str_c(info->local_uri);
	size_t prefix = strlen(CALL_PREFIX);

	if (str_eq(method, STR("GET")) && str_eq(path, STR("/v1/addresses")))
		handle_addresses(rq);
	else if (str_eq(method, STR("POST")) &&
		 str_eq(path, STR(COMPLETIONS_PATH)))
		handle_completion(rq);
	else if (str_eq(method, STR("POST")) && path.n > prefix &&
		 memcmp(path.p, CALL_PREFIX, prefix) == 0)
		handle_service_call(rq,
				    str_n(path.p + prefix, path.n - prefix));
	else
		send_not_found(rq);
}

static void on_request(void *ctx, struct mg_connection *conn)
{
	http_t *h = ctx;
	request_t rq = {.h = h, .conn = conn, .fd = -1};

	counter_add(CTR_HTTP_REQUESTS, 1);
	atomic_fetch_add(&h->active, 1);
	route_request(&rq);
	atomic_fetch_sub(&h->active, 1);
	buf_free(&rq.body);
	free(rq.core_body);
	json_decref(rq.doc);
}

http_t *http_new(const http_cfg_t *cfg, const http_ops_t *ops, void *ctx)
{
	http_t *h = xcalloc(1, sizeof(*h));

	h->cfg = *cfg;
	h->ops = *ops;
	h->ctx = ctx;
	atomic_init(&h->next_handle, 0);
	atomic_init(&h->active, 0);
	for (uint32_t i = 0; i < SHARDS; i++) {
		pthread_mutex_init(&h->shards[i].lock, NULL);
		CDS_INIT_LIST_HEAD(&h->shards[i].answers);
	}
	return h;
}

int http_start(http_t *h)
{
	h->port = httpd_start(&h->cfg.port, on_request, h);
	return h->port ? 0 : -1;
}

size_t http_active_requests(http_t *h)
{
	return atomic_load(&h->active);
}

static void fail_answers(shard_t *s)
{
	answer_t *answer;

	pthread_mutex_lock(&s->lock);
	cds_list_for_each_entry (answer, &s->answers, node) {
		if (answer->final)
			continue;
		answer->final = true;
		answer->reason = REASON_SHUTDOWN;
		answer->run = RUN_UNKNOWN;
		pthread_cond_signal(&answer->changed);
	}
	pthread_mutex_unlock(&s->lock);
}

void http_stop(http_t *h)
{
	struct timespec tick = {0, STOP_TICK_MS * 1000000L};

	/* CivetWeb sends nothing after mg_stop(): send the errors first. */
	for (int ms = 0; ms < STOP_MAX_MS; ms += STOP_TICK_MS) {
		for (uint32_t i = 0; i < SHARDS; i++)
			fail_answers(&h->shards[i]);
		if (!http_active_requests(h))
			break;
		nanosleep(&tick, NULL);
	}
	httpd_stop(h->port);
	h->port = NULL;
}

void http_free(http_t *h)
{
	if (!h)
		return;
	http_stop(h);
	for (uint32_t i = 0; i < SHARDS; i++)
		pthread_mutex_destroy(&h->shards[i].lock);
	free(h);
}
