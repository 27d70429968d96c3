/* target.c - runs each order to a target as one HTTP transfer of libcurl. */
#include "target.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <urcu/list.h>

#include "curl_response.h"
#include "http1.h"
#include "log.h"

#define COMPLETIONS_PATH "/v1/completions"
#define SSE_DONE_LINE "data: [DONE]"
#define SSE_DONE_EVENT SSE_DONE_LINE "\n\n"
/* Bytes of a stream that are searched for the name of the served adapter. */
#define MODEL_SEARCH_MAX 65536u
/* Bytes kept of each later line, enough to recognise SSE_DONE_LINE. */
#define LINE_PREFIX_MAX 64u
#define ERROR_BODY_MAX 65536u /* bytes kept of an error response */
#define RECV_BUFFER_BYTES 16384L
#define POOL_MAX 512L	     /* idle connections kept by each thread */
#define PROGRESS_CHECK_MS 50 /* time between two checks for silent targets */
#define EPOLL_BATCH 64

typedef struct worker worker_t;

/* One order and the HTTP request that carries it out. */
typedef struct transfer {
	struct cds_list_head node; /* in the worker's inbox, then active */
	worker_t *worker;
	engine_order_t order; /* its strings are owned */
	CURL *easy;
	struct curl_slist *headers;
	char *request_body; /* owned */
	/* A call of a plain service, whose response is relayed unchanged. */
	bool is_service_call;
	bool no_events; /* reports no events: an ORDER_CANCEL */
	bool sent;	/* a byte of the request may have left this host */
	/* The response. */
	curl_response_t response;
	bool is_sse;	   /* Content-Type is text/event-stream */
	bool head_emitted; /* EVENT_HEAD has been reported */
	bool done_seen;
	uint64_t boot_id;
	/* Body bytes passed on, with those before the point of resumption. */
	uint64_t offset;
	buf_t held; /* body bytes not passed on yet */
	buf_t line; /* start of the SSE line being received */
	/* Since the last EVENT_CHUNK: SSE events, or the number in "usage". */
	uint32_t tokens;
	int64_t last_byte_us;	     /* when the target sent its last byte */
	int64_t progress_timeout_us; /* longest wait for a byte */
} transfer_t;

struct worker {
	target_client_t *client;
	pthread_t thread;
	bool started;
	CURLM *multi;
	int epoll_fd;
	int wake_fd;
	int64_t curl_timer_due_us; /* INT64_MAX: no timer is set */
	struct cds_list_head active;
	GHashTable *by_id; /* order id -> transfer */
	/* target id -> time until which pooled connections are not used */
	GHashTable *suspect_until_us;
	pthread_mutex_t lock; /* guards the fields below */
	struct cds_list_head inbox;
	bool stopping;
};

struct target_client {
	target_client_cfg_t cfg;
	target_event_fn_t on_event;
	void *ctx;
	worker_t *workers;
};

void target_client_cfg_default(target_client_cfg_t *cfg)
{
	cfg->threads = 2;
	cfg->connect_us = 1 * USEC_PER_SEC;
	cfg->progress_timeout_us = 10 * USEC_PER_SEC;
	cfg->load_us = 60 * USEC_PER_SEC;
	cfg->idle_us = 2 * USEC_PER_SEC;
	cfg->json_max = 4u << 20;
}

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static void wake(worker_t *w)
{
	uint64_t one = 1;
	ssize_t n = write(w->wake_fd, &one, sizeof(one));

	(void)n; /* fails only if the counter is full, and so is readable */
}

static void transfer_free(transfer_t *t)
{
	str_free(&t->order.url);
	str_free(&t->order.adapter);
	str_free(&t->order.base);
	str_free(&t->order.run_id);
	str_free(&t->order.path);
	str_free(&t->order.body);
	str_free(&t->order.idempotency_key);
	if (t->easy)
		curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	free(t->request_body);
	buf_free(&t->held);
	buf_free(&t->line);
	free(t);
}

static transfer_t *transfer_new(worker_t *worker,
				const engine_order_t *submitted)
{
	transfer_t *t = xcalloc(1, sizeof(*t));

	t->worker = worker;
	t->order = *submitted;
	t->order.url = str_copy(submitted->url);
	t->order.adapter = str_copy(submitted->adapter);
	t->order.base = str_copy(submitted->base);
	t->order.run_id = str_copy(submitted->run_id);
	t->order.path = str_copy(submitted->path);
	t->order.body = str_copy(submitted->body);
	t->order.idempotency_key = str_copy(submitted->idempotency_key);
	if (submitted->kind == ORDER_RESUME)
		t->offset = submitted->resume_offset;
	t->is_service_call = submitted->kind == ORDER_RUN &&
			     submitted->path.n &&
			     !str_eq(submitted->path, STR(COMPLETIONS_PATH));
	t->no_events = submitted->kind == ORDER_CANCEL;
	return t;
}

/* Status of the response; 0 before its head, interim ones aside. */
static int status_of(const transfer_t *t)
{
	return t->response.lines.status;
}

static engine_event_t new_event(const transfer_t *t, engine_event_kind_t kind)
{
	engine_event_t ev = {0};

	ev.order_id = t->order.id;
	ev.target = t->order.target;
	ev.kind = kind;
	ev.http_status = status_of(t);
	ev.boot_id = t->boot_id;
	return ev;
}

static void emit(const transfer_t *t, const engine_event_t *ev)
{
	target_client_t *client = t->worker->client;

	if (!t->no_events)
		client->on_event(client->ctx, ev);
}

static void emit_failed(const transfer_t *t, reason_t reason, bool sent)
{
	engine_event_t ev = new_event(t, EVENT_FAILED);

	ev.reason = reason;
	ev.sent = sent;
	emit(t, &ev);
}

static void emit_head(transfer_t *t, str_t served_by)
{
	engine_event_t ev = new_event(t, EVENT_HEAD);

	ev.served_by = served_by;
	t->head_emitted = true;
	emit(t, &ev);
}

static void emit_chunk(transfer_t *t, str_t data)
{
	engine_event_t ev = new_event(t, EVENT_CHUNK);

	if (!data.n)
		return;
	ev.data = data;
	ev.offset = t->offset;
	ev.tokens = t->tokens;
	t->offset += data.n;
	t->tokens = 0;
	emit(t, &ev);
}

static void emit_done(const transfer_t *t)
{
	engine_event_t ev = new_event(t, EVENT_DONE);

	emit(t, &ev);
}

/* Reports the head, then the held bytes. */
static void emit_held(transfer_t *t, str_t served_by)
{
	emit_head(t, served_by);
	emit_chunk(t, buf_str(&t->held));
	buf_free(&t->held);
}

/* Reports the head if this SSE line names the model. */
static void find_model(transfer_t *t, str_t line)
{
	json_t *event;
	const char *model;

	if (line.n < 6 || memcmp(line.p, "data: ", 6) != 0)
		return;
	event = json_loadb(line.p + 6, line.n - 6, 0, NULL);
	model = json_string_value(json_object_get(event, "model"));
	if (model)
		emit_held(t, str_c(model));
	json_decref(event);
}

static void end_sse_line(transfer_t *t)
{
	str_t line = buf_str(&t->line);

	if (line.n && line.p[line.n - 1] == '\r')
		line.n--;
	if (str_eq(line, STR(SSE_DONE_LINE)))
		t->done_seen = true;
	else if (line.n > 5 && memcmp(line.p, "data:", 5) == 0)
		t->tokens++;
	if (!t->head_emitted)
		find_model(t, line);
	buf_reset(&t->line);
}

/*
 * Reads data line by line, to find the model, the tokens and the last line.
 * Passes nothing on itself.
 */
static void scan_sse(transfer_t *t, str_t data)
{
	while (data.n) {
		size_t max =
			t->head_emitted ? LINE_PREFIX_MAX : MODEL_SEARCH_MAX;
		const char *nl = memchr(data.p, '\n', data.n);
		size_t n = nl ? (size_t)(nl - data.p) : data.n;

		if (t->line.n < max)
			buf_put(&t->line, data.p,
				n < max - t->line.n ? n : max - t->line.n);
		if (nl)
			end_sse_line(t);
		data.p += nl ? n + 1 : n;
		data.n -= nl ? n + 1 : n;
	}
}

static void handle_sse_bytes(transfer_t *t, str_t data)
{
	bool had_head = t->head_emitted;

	if (!had_head)
		buf_put(&t->held, data.p, data.n);
	scan_sse(t, data);
	if (had_head)
		emit_chunk(t, data);
	else if (!t->head_emitted && t->held.n > MODEL_SEARCH_MAX)
		emit_held(t, str_n(NULL, 0));
}

static bool is_success(const transfer_t *t)
{
	return status_of(t) >= 200 && status_of(t) < 300;
}

static bool is_run(const transfer_t *t)
{
	return t->order.kind == ORDER_RUN || t->order.kind == ORDER_RESUME;
}

/* Whether the response has a Content-Length or a Transfer-Encoding. */
static bool is_framed(const transfer_t *t)
{
	return t->response.lines.n_framing > 0;
}

/* Whether its head tells where the body ends, or that it has none. */
static bool has_known_end(const transfer_t *t)
{
	return is_framed(t) || !http1_status_has_body(status_of(t));
}

/*
 * Whether body bytes are passed on unparsed as they arrive. A 503 is buffered,
 * because its body may say that the call was not run.
 */
static bool relays_unparsed(const transfer_t *t)
{
	return is_run(t) && t->is_service_call && has_known_end(t) &&
	       status_of(t) != 503;
}

static int on_data(void *ctx, str_t data)
{
	transfer_t *t = ctx;
	size_t max = t->worker->client->cfg.json_max;

	t->last_byte_us = now_us();
	if (is_run(t) && !t->is_service_call && !is_success(t))
		max = ERROR_BODY_MAX;
	if (relays_unparsed(t)) {
		if (!t->head_emitted)
			emit_head(t, str_n(NULL, 0));
		emit_chunk(t, data);
	} else if (is_run(t) && t->is_sse && is_success(t)) {
		handle_sse_bytes(t, data);
	} else if (t->held.n + data.n <= max) {
		buf_put(&t->held, data.p, data.n);
	} else {
		return -1; /* too large */
	}
	return 0;
}

static void read_field(transfer_t *t, str_t name, str_t value)
{
	const str_t sse = STR("text/event-stream");

	if (http1_name_eq(name, STR("X-Boot-Id")))
		str_to_u64(value, &t->boot_id);
	else if (http1_name_eq(name, STR("Content-Type")))
		t->is_sse =
			value.n >= sse.n && memcmp(value.p, sse.p, sse.n) == 0;
}

static void on_line(void *ctx)
{
	transfer_t *t = ctx;
	const http1_lines_t *lines = &t->response.lines;

	t->last_byte_us = now_us();
	if (http1_lines_in_answer(lines))
		read_field(t, lines->name, lines->value);
}

/* Called by curl when it has a connection, before it sends the first byte. */
static int on_connected(void *arg, char *remote_ip, char *local_ip,
			int remote_port, int local_port)
{
	transfer_t *t = arg;

	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

static void add_header(transfer_t *t, const char *name, str_t value)
{
	AUTO_BUF buf_t line = {0};

	buf_printf(&line, "%s: %.*s", name, STR_ARG(value));
	t->headers = curl_slist_append(t->headers, line.p);
}

static void add_number_header(transfer_t *t, const char *name, int64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	add_header(t, name, str_c(text));
}

static void add_headers(transfer_t *t)
{
	const engine_order_t *order = &t->order;

	t->headers = curl_slist_append(t->headers, "Expect:");
	t->headers =
		curl_slist_append(t->headers, "Content-Type: application/json");
	if (order->fence)
		add_number_header(t, "X-Fence", (int64_t)order->fence);
	if (order->run_id.n)
		add_header(t, "X-Request-Id", order->run_id);
	if (order->idempotency_key.n)
		add_header(t, "Idempotency-Key", order->idempotency_key);
	if (!is_run(t))
		return;
	add_number_header(t, "X-Priority", order->priority);
	if (order->deadline_us) {
		int64_t left_us = order->deadline_us - now_us();

		add_number_header(t, "X-Deadline-Ms",
				  left_us > 0 ? left_us / USEC_PER_MSEC : 0);
	}
	if (order->kind == ORDER_RESUME)
		add_number_header(t, "X-Resume-Offset",
				  (int64_t)order->resume_offset);
}

static char *dump_json(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return text;
}

/*
 * Returns the body of a completion with "model" added in front: engines need
 * the exact name of the adapter or base model.
 */
static char *completion_body(const engine_order_t *order)
{
	buf_t out = {0};
	str_t model = order->adapter.n ? order->adapter : order->base;
	str_t rest = order->body.n ? str_n(order->body.p + 1, order->body.n - 1)
				   : STR("}");
	json_t *name = json_stringn(model.p ? model.p : "", model.n);
	AUTO_FREE char *quoted = json_dumps(name, JSON_ENCODE_ANY);

	json_decref(name);
	buf_printf(&out, "{\"model\":%s%s", quoted ? quoted : "\"\"",
		   rest.n && rest.p[0] == '}' ? "" : ",");
	buf_put(&out, rest.p, rest.n);
	return out.p;
}

/* Returns the request body, owned by the caller; NULL for a GET. */
static char *make_request_body(const transfer_t *t)
{
	const engine_order_t *order = &t->order;

	switch (order->kind) {
	case ORDER_LOAD:
		return dump_json(json_pack("{s:s%, s:s%}", "lora_name",
					   order->adapter.p, order->adapter.n,
					   "lora_path", order->adapter.p,
					   order->adapter.n));
	case ORDER_UNLOAD:
		return dump_json(json_pack("{s:s%}", "lora_name",
					   order->adapter.p, order->adapter.n));
	case ORDER_CANCEL:
		return dump_json(json_pack("{s:s%}", "request_id",
					   order->run_id.p, order->run_id.n));
	case ORDER_RUN:
	case ORDER_RESUME:
		return t->is_service_call ? str_dup(order->body)
					  : completion_body(order);
	case ORDER_STATE:
		return NULL;
	}
	return NULL;
}

static str_t order_path(const engine_order_t *order)
{
	switch (order->kind) {
	case ORDER_LOAD:
		return STR("/v1/load_lora_adapter");
	case ORDER_UNLOAD:
		return STR("/v1/unload_lora_adapter");
	case ORDER_CANCEL:
		return STR("/v1/cancel");
	case ORDER_STATE:
		return STR("/v1/models");
	case ORDER_RUN:
	case ORDER_RESUME:
		break;
	}
	return order->path.n ? order->path : STR(COMPLETIONS_PATH);
}

static int64_t progress_timeout_us(const target_client_cfg_t *cfg,
				   const engine_order_t *order)
{
	if (order->progress_timeout_us)
		return order->progress_timeout_us;
	if (order->kind == ORDER_LOAD || order->kind == ORDER_UNLOAD)
		return cfg->load_us;
	return cfg->progress_timeout_us;
}

/*
 * Whether the target fell silent lately. Its other pooled connections may be
 * dead too, so that new requests use a fresh one.
 */
static bool is_suspect(worker_t *w, target_id_t target, int64_t now)
{
	int64_t *until_us = g_hash_table_lookup(w->suspect_until_us,
						GUINT_TO_POINTER(target));

	return until_us && *until_us > now;
}

static void mark_suspect(worker_t *w, target_id_t target, int64_t until_us)
{
	int64_t *value = g_new(int64_t, 1);

	*value = until_us;
	g_hash_table_insert(w->suspect_until_us, GUINT_TO_POINTER(target),
			    value);
}

static void set_request(transfer_t *t)
{
	AUTO_BUF buf_t url = {0};
	CURL *e = t->easy;

	buf_printf(&url, "%.*s%.*s", STR_ARG(t->order.url),
		   STR_ARG(order_path(&t->order)));
	curl_easy_setopt(e, CURLOPT_URL, url.p);
	t->request_body = make_request_body(t);
	if (t->request_body) {
		size_t n = t->is_service_call ? t->order.body.n
					      : strlen(t->request_body);

		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)n);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, t->request_body);
	}
	add_headers(t);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, t->headers);
}

static void set_callbacks(transfer_t *t)
{
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	t->response.line = on_line;
	t->response.data = on_data;
	t->response.ctx = t;
	curl_response_attach(&t->response, e);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, t);
}

static void set_connection(transfer_t *t)
{
	const target_client_cfg_t *cfg = &t->worker->client->cfg;
	long idle_s = (long)(cfg->idle_us / USEC_PER_SEC);
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, RECV_BUFFER_BYTES);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(cfg->connect_us / USEC_PER_MSEC));
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, idle_s > 0 ? idle_s : 1L);
	/*
	 * curl sends a request a second time if a reused connection turns out
	 * to be closed, but never one that it sent on a fresh connection. There
	 * no late response to an earlier run can be taken for that to this one.
	 */
	if (is_run(t) ||
	    is_suspect(t->worker, t->order.target, t->last_byte_us))
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
	if (is_run(t))
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
}

static void start_transfer(worker_t *w, transfer_t *t)
{
	t->last_byte_us = now_us();
	t->progress_timeout_us =
		progress_timeout_us(&w->client->cfg, &t->order);
	t->easy = curl_easy_init();
	if (!t->easy) {
		emit_failed(t, REASON_TARGET_LOST, false);
		transfer_free(t);
		return;
	}
	set_request(t);
	set_callbacks(t);
	set_connection(t);
	cds_list_add_tail(&t->node, &w->active);
	if (!t->no_events)
		g_hash_table_insert(w->by_id, &t->order.id, t);
	curl_multi_add_handle(w->multi, t->easy);
}

/* Removes a transfer from curl and the worker; the caller must free it. */
static void detach(worker_t *w, transfer_t *t)
{
	curl_multi_remove_handle(w->multi, t->easy);
	if (!t->no_events)
		g_hash_table_remove(w->by_id, &t->order.id);
	cds_list_del(&t->node);
}

/*
 * Ends the run that an ORDER_CANCEL names, and sends the cancel to the target
 * unless no byte of the run was sent. Takes ownership of the cancel's transfer.
 */
static void handle_cancel(worker_t *w, transfer_t *cancel)
{
	transfer_t *run =
		g_hash_table_lookup(w->by_id, &cancel->order.cancel_order_id);
	bool tell_target = !run || run->sent;

	if (run) {
		if (!cancel->order.run_id.n && run->order.run_id.n) {
			str_free(&cancel->order.run_id);
			cancel->order.run_id = str_copy(run->order.run_id);
		}
		detach(w, run);
		emit_failed(run, REASON_CANCELLED, run->sent);
		transfer_free(run);
	}
	if (tell_target && cancel->order.run_id.n && cancel->order.url.n)
		start_transfer(w, cancel);
	else
		transfer_free(cancel);
}

static json_t *parse_held(const transfer_t *t)
{
	return json_loadb(t->held.p ? t->held.p : "", t->held.n,
			  JSON_DECODE_ANY, NULL);
}

/* Whether the response of a service says that the call was not run. */
static bool service_refused(const transfer_t *t)
{
	json_t *doc;
	str_t error;
	bool refused;

	if (!t->is_service_call || status_of(t) != 503)
		return false;
	doc = parse_held(t);
	error = str_c(json_string_value(json_object_get(doc, "error")));
	refused =
		str_eq(error, STR("refused")) || str_eq(error, STR("leaving"));
	json_decref(doc);
	return refused;
}

/* Reports an error response, whose body is {"error": "..."}. */
static void emit_error_status(transfer_t *t)
{
	engine_event_t ev = new_event(t, EVENT_FAILED);
	json_t *doc = parse_held(t);
	str_t error = str_c(json_string_value(json_object_get(doc, "error")));

	ev.sent = true;
	ev.old_fence = status_of(t) == 409 && str_eq(error, STR("old_fence"));
	ev.target_leaving = str_eq(error, STR("leaving"));
	ev.reason = REASON_TARGET_ERROR;
	if (t->order.kind == ORDER_LOAD)
		ev.reason = REASON_LOAD_FAILED;
	if (ev.old_fence || ev.target_leaving || str_eq(error, STR("refused")))
		ev.reason = REASON_TARGET_REFUSED;
	log_event(LOG_INFO, "target_refused", kv_u("target", t->order.target),
		  kv_u("order", t->order.id), kv_s("run", t->order.run_id),
		  kv_i("status", status_of(t)), kv_s("error", error));
	emit(t, &ev);
	json_decref(doc);
}

static void finish_state_order(transfer_t *t)
{
	engine_event_t ev = new_event(t, EVENT_STATE);
	json_t *doc = parse_held(t);
	json_t *data = json_object_get(doc, "data");
	size_t n = json_array_size(data);
	AUTO_FREE engine_resident_t *resident = xcalloc(n, sizeof(*resident));

	for (size_t i = 0; i < n; i++) {
		json_t *row = json_array_get(data, i);
		json_t *id = json_object_get(row, "id");

		if (!json_is_string(id))
			continue;
		resident[ev.n_resident].adapter =
			str_n(json_string_value(id), json_string_length(id));
		resident[ev.n_resident].loading =
			json_is_true(json_object_get(row, "loading"));
		resident[ev.n_resident].running = (uint32_t)json_integer_value(
			json_object_get(row, "running"));
		ev.n_resident++;
	}
	ev.resident = resident;
	ev.n_running =
		(uint32_t)json_integer_value(json_object_get(doc, "running"));
	ev.target_leaving = json_is_true(json_object_get(doc, "leaving"));
	/*
	 * A plain service does not know this path; its 404 still shows that it
	 * is up.
	 */
	if (doc || status_of(t) == 404)
		emit(t, &ev);
	else
		emit_failed(t, REASON_TARGET_ERROR, true);
	json_decref(doc);
}

/*
 * Whether a resumed response is complete although it holds less than the last
 * event of the stream, whose line scan_sse() then cannot recognise.
 */
static bool is_rest_of_done_event(const transfer_t *t)
{
	str_t rest = buf_str(&t->held);
	size_t n = strlen(SSE_DONE_EVENT);

	return t->order.kind == ORDER_RESUME && is_framed(t) && rest.n <= n &&
	       (!rest.n ||
		memcmp(SSE_DONE_EVENT + n - rest.n, rest.p, rest.n) == 0);
}

static void finish_sse(transfer_t *t)
{
	if (!t->head_emitted && is_rest_of_done_event(t))
		t->done_seen = true;
	if (!t->head_emitted && t->held.n)
		emit_held(t, str_n(NULL, 0));
	if (t->done_seen)
		emit_done(t);
	else
		emit_failed(t, REASON_STREAM_TRUNCATED, true);
}

/*
 * Ends a run whose body was buffered: a completion that is not streamed, or
 * the response of a service that has no framing or status 503.
 */
static void finish_buffered(transfer_t *t)
{
	json_t *doc = parse_held(t);
	json_t *usage = json_object_get(doc, "usage");
	json_t *model = json_object_get(doc, "model");
	/*
	 * Framing shows that a service's or a resumed response is complete;
	 * others are complete only if the body parses as JSON.
	 */
	bool framed =
		is_framed(t) && (t->is_service_call || t->order.resume_offset);

	t->tokens = (uint32_t)json_integer_value(
		json_object_get(usage, "completion_tokens"));
	if (doc || framed) {
		emit_held(t, str_n(json_string_value(model),
				   json_string_length(model)));
		emit_done(t);
	} else {
		emit_failed(t, REASON_STREAM_TRUNCATED, true);
	}
	json_decref(doc);
}

static void finish_answer(transfer_t *t)
{
	if (t->order.kind == ORDER_STATE &&
	    (is_success(t) || status_of(t) == 404)) {
		finish_state_order(t);
	} else if (relays_unparsed(t)) {
		if (!t->head_emitted)
			emit_head(t, str_n(NULL, 0));
		emit_done(t);
	} else if ((!is_success(t) && !t->is_service_call) ||
		   service_refused(t)) {
		emit_error_status(t);
	} else if (!is_run(t)) {
		emit_done(t);
	} else if (t->is_sse) {
		finish_sse(t);
	} else {
		finish_buffered(t);
	}
}

static void finish_transfer(worker_t *w, transfer_t *t, CURLcode rc)
{
	const char *error = curl_response_error(&t->response, rc);

	detach(w, t);
	if (!error)
		finish_answer(t);
	else if (rc == CURLE_OK)
		emit_failed(t, REASON_STREAM_TRUNCATED, true);
	else if (rc == CURLE_WRITE_ERROR)
		emit_failed(t, REASON_TARGET_ERROR, true);
	else
		emit_failed(t, REASON_TARGET_LOST, t->sent);
	if (error)
		log_event(LOG_INFO, "target_transfer_failed",
			  kv_u("target", t->order.target),
			  kv_u("order", t->order.id), KV_C("error", error),
			  kv_u("sent", t->sent));
	transfer_free(t);
}

static void end_silent_transfers(worker_t *w)
{
	transfer_t *t;
	transfer_t *next;
	int64_t now = now_us();

	cds_list_for_each_entry_safe (t, next, &w->active, node) {
		if (now - t->last_byte_us < t->progress_timeout_us)
			continue;
		mark_suspect(w, t->order.target, now + w->client->cfg.idle_us);
		detach(w, t);
		log_event(LOG_NOTICE, "target_silent",
			  kv_u("target", t->order.target),
			  kv_u("order", t->order.id), kv_u("sent", t->sent));
		emit_failed(
			t, t->sent ? REASON_TARGET_STALLED : REASON_TARGET_LOST,
			t->sent);
		transfer_free(t);
	}
}

static void handle_finished(worker_t *w)
{
	CURLMsg *msg;
	int n_left;

	while ((msg = curl_multi_info_read(w->multi, &n_left))) {
		transfer_t *t = NULL;
		CURLcode rc = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		finish_transfer(w, t, rc);
	}
}

/* Moves the queued transfers to *out; false if the worker must stop. */
static bool take_inbox(worker_t *w, struct cds_list_head *out)
{
	bool stopping;

	CDS_INIT_LIST_HEAD(out);
	pthread_mutex_lock(&w->lock);
	cds_list_splice(&w->inbox, out);
	CDS_INIT_LIST_HEAD(&w->inbox);
	stopping = w->stopping;
	pthread_mutex_unlock(&w->lock);
	return !stopping;
}

static void start_orders(worker_t *w, struct cds_list_head *orders)
{
	transfer_t *t;
	transfer_t *next;

	cds_list_for_each_entry_safe (t, next, orders, node) {
		cds_list_del(&t->node);
		if (t->order.kind == ORDER_CANCEL)
			handle_cancel(w, t);
		else
			start_transfer(w, t);
	}
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *sock_arg)
{
	worker_t *w = arg;
	struct epoll_event ev = {0};

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	ev.data.fd = fd;
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(w->epoll_fd, EPOLL_CTL_MOD, fd, &ev) < 0)
		epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	worker_t *w = arg;

	w->curl_timer_due_us = timeout_ms < 0
				       ? INT64_MAX
				       : now_us() + timeout_ms * USEC_PER_MSEC;
	return 0;
}

static void run_curl_timer(worker_t *w)
{
	int running;

	if (w->curl_timer_due_us > now_us())
		return;
	w->curl_timer_due_us = INT64_MAX;
	curl_multi_socket_action(w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static int epoll_timeout_ms(worker_t *w)
{
	int64_t left_us;

	if (cds_list_empty(&w->active) && w->curl_timer_due_us == INT64_MAX)
		return -1;
	if (w->curl_timer_due_us == INT64_MAX)
		return PROGRESS_CHECK_MS;
	left_us = w->curl_timer_due_us - now_us();
	if (left_us <= 0)
		return 0;
	if (left_us > PROGRESS_CHECK_MS * USEC_PER_MSEC)
		return PROGRESS_CHECK_MS;
	return (int)(left_us / USEC_PER_MSEC) + 1;
}

static void handle_io(worker_t *w, const struct epoll_event *ev)
{
	int running;
	int mask = 0;
	uint64_t count;

	if (ev->data.fd == w->wake_fd) {
		ssize_t n = read(w->wake_fd, &count, sizeof(count));

		(void)n;
		return;
	}
	if (ev->events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (ev->events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(w->multi, ev->data.fd, mask, &running);
}

static void fail_all(worker_t *w)
{
	transfer_t *t;
	transfer_t *next;

	cds_list_for_each_entry_safe (t, next, &w->active, node) {
		detach(w, t);
		emit_failed(t, REASON_SHUTDOWN, t->sent);
		transfer_free(t);
	}
}

static void *worker_thread(void *arg)
{
	worker_t *w = arg;
	struct epoll_event events[EPOLL_BATCH];
	struct cds_list_head orders;
	int64_t checked_us = 0;

	while (take_inbox(w, &orders)) {
		int n;

		start_orders(w, &orders);
		run_curl_timer(w);
		n = epoll_wait(w->epoll_fd, events, EPOLL_BATCH,
			       epoll_timeout_ms(w));
		for (int i = 0; i < n; i++)
			handle_io(w, &events[i]);
		run_curl_timer(w);
		handle_finished(w);
		if (now_us() - checked_us >=
		    PROGRESS_CHECK_MS * USEC_PER_MSEC) {
			checked_us = now_us();
			end_silent_transfers(w);
		}
	}
	start_orders(w, &orders);
	fail_all(w);
	return NULL;
}

static int worker_init(worker_t *w, target_client_t *client)
{
	struct epoll_event ev = {.events = EPOLLIN};

	w->client = client;
	w->curl_timer_due_us = INT64_MAX;
	CDS_INIT_LIST_HEAD(&w->active);
	CDS_INIT_LIST_HEAD(&w->inbox);
	pthread_mutex_init(&w->lock, NULL);
	w->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	w->suspect_until_us = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	w->multi = curl_multi_init();
	w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	w->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (!w->multi || w->epoll_fd < 0 || w->wake_fd < 0)
		return -1;
	ev.data.fd = w->wake_fd;
	if (epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, w->wake_fd, &ev) < 0)
		return -1;
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS, POOL_MAX);
	return 0;
}

target_client_t *target_client_new(const target_client_cfg_t *cfg,
				   target_event_fn_t on_event, void *ctx)
{
	target_client_t *c = xcalloc(1, sizeof(*c));

	c->cfg = *cfg;
	c->on_event = on_event;
	c->ctx = ctx;
	c->workers = xcalloc(cfg->threads, sizeof(*c->workers));
	for (uint32_t i = 0; i < cfg->threads; i++) {
		c->workers[i].epoll_fd = -1;
		c->workers[i].wake_fd = -1;
	}
	return c;
}

int target_client_start(target_client_t *c)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (uint32_t i = 0; i < c->cfg.threads; i++) {
		worker_t *w = &c->workers[i];
		int rc = worker_init(w, c) < 0 ? errno : 0;

		if (!rc)
			rc = pthread_create(&w->thread, NULL, worker_thread, w);
		if (rc) {
			log_event(LOG_ERR, "target_client_start_failed",
				  KV_C("error", strerror(rc)));
			return -1;
		}
		w->started = true;
	}
	return 0;
}

void target_client_submit(target_client_t *c, const engine_order_t *order)
{
	worker_t *w = &c->workers[order->target % c->cfg.threads];
	transfer_t *t = transfer_new(w, order);
	bool inbox_was_empty;

	pthread_mutex_lock(&w->lock);
	if (w->stopping) {
		pthread_mutex_unlock(&w->lock);
		transfer_free(t);
		return;
	}
	inbox_was_empty = cds_list_empty(&w->inbox);
	cds_list_add_tail(&t->node, &w->inbox);
	pthread_mutex_unlock(&w->lock);
	if (inbox_was_empty)
		wake(w);
}

void target_client_stop(target_client_t *c)
{
	for (uint32_t i = 0; i < c->cfg.threads; i++) {
		worker_t *w = &c->workers[i];

		if (!w->started)
			continue;
		pthread_mutex_lock(&w->lock);
		w->stopping = true;
		pthread_mutex_unlock(&w->lock);
		wake(w);
		pthread_join(w->thread, NULL);
		w->started = false;
	}
}

static void worker_free(worker_t *w)
{
	if (w->multi)
		curl_multi_cleanup(w->multi);
	if (w->by_id)
		g_hash_table_destroy(w->by_id);
	if (w->suspect_until_us)
		g_hash_table_destroy(w->suspect_until_us);
	if (w->epoll_fd >= 0)
		close(w->epoll_fd);
	if (w->wake_fd >= 0)
		close(w->wake_fd);
	pthread_mutex_destroy(&w->lock);
}

void target_client_free(target_client_t *c)
{
	if (!c)
		return;
	target_client_stop(c);
	for (uint32_t i = 0; i < c->cfg.threads; i++)
		worker_free(&c->workers[i]);
	free(c->workers);
	free(c);
}
