/*
 * engine.c - stand-in for model engines in tests and benchmarks. An engine has
 * adapter slots, loads adapters from a weight store, generates tokens with
 * continuous batching, can resume and cancel streams, checks fencing numbers,
 * refreshes its metrics with a delay and injects faults on request.
 *
 *   engine --name runner --count 3 --port 0 --base heritage --slots 8
 *
 * One process serves --count engines, each on its own port, and prints
 * "NAME 127.0.0.1:PORT" for each on standard output.
 */
#include "lib_http.h"
#include "lib_token.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <urcu/list.h>

/* The output of an ended run can be resumed for at least this long. */
#define RUN_RETENTION_US (30 * USEC_PER_SEC)
#define HEADERS_MAX 128
#define PREFILL_TOKENS_PER_STEP 2048u

static struct {
	gchar *name, *base, *store;
	gint port, count, slots, max_batch, threads;
	gint step_us, load_ms, metrics_lag_ms;
	gdouble step_growth;
	gboolean ignore_fence;
} opt = {.port = 0,
	 .count = 1,
	 .slots = 8,
	 .max_batch = 16,
	 .threads = 96,
	 .step_us = 20000,
	 .step_growth = 0.03,
	 .load_ms = 330,
	 .metrics_lag_ms = 1000};

typedef enum run_phase {
	PHASE_WAITING,
	PHASE_RUNNING,
	PHASE_DONE,
	PHASE_CANCELLED, /* by /v1/cancel, a later attempt or a restart */
} run_phase_t;

static const char *const phase_names[] = {"waiting", "running", "done",
					  "cancelled"};

/* The processing of one completion request. */
typedef struct run {
	struct cds_list_head node; /* in engine.runs or engine.ended */
	char *id;
	char *model;
	char *prompt;
	uint32_t max_tokens;
	uint32_t prefill_steps; /* steps left before the first token */
	uint32_t tokens;	/* generated so far */
	int32_t priority;
	uint64_t fence;
	bool stream;
	buf_t text; /* text of the tokens generated so far */
	buf_t body; /* the same tokens as server-sent events */
	run_phase_t phase;
	int64_t started_us, ended_us;
	int64_t resident_us; /* when its adapter finished loading; 0: base */
	int readers;	     /* responses being sent from this run */
} run_t;

typedef struct adapter_slot {
	char *name; /* NULL while the slot is free */
	bool loading;
	int64_t resident_us; /* when the adapter finished loading */
} adapter_slot_t;

typedef enum fault {
	FAULT_NONE,
	FAULT_REFUSE,	  /* a completion is answered with status 503 */
	FAULT_STALL,	  /* a response stops while its connection stays open */
	FAULT_FAIL_LOADS, /* an adapter load fails */
	FAULT_DROP_STREAM, /* the connection closes before the response ends */
	FAULT_COUNT,
} fault_t;

static const char *const fault_names[] = {"none", "refuse", "stall",
					  "fail_loads", "drop_stream"};

typedef struct engine {
	char name[64];
	int port;
	http_server_t *http;
	pthread_t stepper;
	pthread_mutex_t lock;
	pthread_cond_t changed; /* a run or a slot has changed */
	/* The lock protects all fields below. */
	struct cds_list_head runs; /* waiting and running, by arrival */
	/* By end time; kept until exit, so that /admin/runs lists every run. */
	struct cds_list_head ended;
	adapter_slot_t *slots;
	uint64_t boot_id;
	uint64_t highest_fence;	      /* highest fencing number received */
	bool leaving;		      /* refuses new completions and loads */
	uint32_t faults[FAULT_COUNT]; /* times each is still to be injected */
	/*
	 * Counters reported by /admin/violations and /metrics: steps counts
	 * those with at least one run, step_runs sums their batch sizes.
	 */
	uint64_t steps, step_runs, step_tokens, loads, unloads, failed_loads;
	uint64_t evicted_running; /* unloads refused: adapter in use */
	uint64_t old_fence_orders;
	uint64_t refused;
	buf_t metrics;		/* body of /metrics */
	int64_t metrics_due_us; /* when metrics is next refreshed */
} engine_t;

/* --- adapters and runs; the caller holds the engine lock --------------- */

static adapter_slot_t *find_slot(engine_t *e, const char *name)
{
	for (int i = 0; i < opt.slots; i++)
		if (e->slots[i].name && !strcmp(e->slots[i].name, name))
			return &e->slots[i];
	return NULL;
}

static adapter_slot_t *find_free_slot(engine_t *e)
{
	for (int i = 0; i < opt.slots; i++)
		if (!e->slots[i].name)
			return &e->slots[i];
	return NULL;
}

static void slot_clear(adapter_slot_t *slot)
{
	free(slot->name);
	slot->name = NULL;
	slot->loading = false;
}

static bool run_is_active(const run_t *r)
{
	return r->phase <= PHASE_RUNNING;
}

/* Number of waiting and running runs of the model, or of all where it is NULL. */
static uint32_t count_active_runs(engine_t *e, const char *model)
{
	uint32_t n = 0;
	run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		if (!model || !strcmp(r->model, model))
			n++;
	return n;
}

/* An active run with this request id, else the latest ended one, else NULL. */
static run_t *find_run(engine_t *e, str_t id)
{
	run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		if (str_eq(str_c(r->id), id))
			return r;
	cds_list_for_each_entry_reverse(
		r, &e->ended, node) if (str_eq(str_c(r->id), id)) return r;
	return NULL;
}

static void end_run(engine_t *e, run_t *r, run_phase_t phase)
{
	if (!run_is_active(r))
		return;
	r->phase = phase;
	r->ended_us = dev_now_us();
	cds_list_del(&r->node);
	cds_list_add_tail(&r->node, &e->ended);
	pthread_cond_broadcast(&e->changed);
}

/* Frees the output of runs that ended long ago; the runs stay listed. */
static void free_old_run_buffers(engine_t *e, int64_t now)
{
	run_t *r;

	cds_list_for_each_entry (r, &e->ended, node) {
		if (r->ended_us > now - RUN_RETENTION_US)
			return;
		if (r->readers || !r->body.p)
			continue;
		buf_free(&r->body);
		buf_free(&r->text);
	}
}

/* Returns true, and counts the fault down, where it is to be injected now. */
static bool take_fault(engine_t *e, fault_t f)
{
	if (!e->faults[f])
		return false;
	e->faults[f]--;
	return true;
}

static void restart_with_no_adapters(engine_t *e)
{
	run_t *r, *next;

	e->boot_id++;
	for (int i = 0; i < opt.slots; i++)
		slot_clear(&e->slots[i]);
	cds_list_for_each_entry_safe (r, next, &e->runs, node)
		end_run(e, r, PHASE_CANCELLED);
}

/* --- the batch ---------------------------------------------------------- */

static void append_token(run_t *r)
{
	char text[TOKEN_TEXT_MAX];

	token_text(text, str_c(r->model), str_c(r->prompt), r->tokens);
	r->tokens++;
	buf_puts(&r->text, text);
	buf_printf(&r->body,
		   "data: {\"id\":\"%s\",\"model\":\"%s\",\"choices\":"
		   "[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		   r->id, r->model, text);
}

/* Orders running runs before waiting ones, then by falling priority. */
static int compare_runs(const void *a, const void *b)
{
	const run_t *x = *(run_t *const *)a, *y = *(run_t *const *)b;

	if ((x->phase == PHASE_RUNNING) != (y->phase == PHASE_RUNNING))
		return x->phase == PHASE_RUNNING ? -1 : 1;
	return (x->priority < y->priority) - (x->priority > y->priority);
}

/* Fills the next batch with the running runs, then with waiting runs by
 * priority, and marks all of them as running. */
static GPtrArray *form_batch(engine_t *e)
{
	GPtrArray *batch = g_ptr_array_new();
	run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		g_ptr_array_add(batch, r);
	g_ptr_array_sort(batch, compare_runs);
	if (batch->len > (guint)opt.max_batch)
		g_ptr_array_set_size(batch, opt.max_batch);
	for (guint i = 0; i < batch->len; i++)
		((run_t *)batch->pdata[i])->phase = PHASE_RUNNING;
	return batch;
}

/* Does one prefill step or generates one token. */
static void advance_run(engine_t *e, run_t *r)
{
	if (!run_is_active(r))
		return;
	if (r->prefill_steps) {
		r->prefill_steps--;
		return;
	}
	append_token(r);
	e->step_tokens++;
	if (r->tokens < r->max_tokens)
		return;
	buf_puts(&r->body, "data: [DONE]\n\n");
	end_run(e, r, PHASE_DONE);
}

static void refresh_metrics(engine_t *e, int64_t now)
{
	if (now < e->metrics_due_us)
		return;
	e->metrics_due_us = now + opt.metrics_lag_ms * USEC_PER_MSEC;
	free_old_run_buffers(e, now);
	buf_reset(&e->metrics);
	buf_printf(&e->metrics, "engine_requests_running %u\n",
		   count_active_runs(e, NULL));
	buf_printf(&e->metrics, "engine_steps_total %lu\n", e->steps);
	buf_printf(&e->metrics, "engine_step_tokens_total %lu\n",
		   e->step_tokens);
	buf_printf(&e->metrics, "engine_adapter_loads_total %lu\n", e->loads);
}

static void *run_steps(void *ctx)
{
	engine_t *e = ctx;

	pthread_mutex_lock(&e->lock);
	for (;;) {
		GPtrArray *batch = form_batch(e);
		guint n = batch->len;
		double us = opt.step_us;

		if (n > 1)
			us *= 1 + opt.step_growth * (n - 1);
		refresh_metrics(e, dev_now_us());
		pthread_mutex_unlock(&e->lock);
		dev_sleep_us(n ? (int64_t)us : 2 * USEC_PER_MSEC);
		pthread_mutex_lock(&e->lock);
		e->steps += n > 0;
		e->step_runs += n;
		for (guint i = 0; i < n; i++)
			advance_run(e, batch->pdata[i]);
		if (n)
			pthread_cond_broadcast(&e->changed);
		g_ptr_array_free(batch, TRUE);
	}
	return NULL;
}

/* --- responses ---------------------------------------------------------- */

static void format_boot_header(engine_t *e, char out[HEADERS_MAX])
{
	snprintf(out, HEADERS_MAX, "X-Boot-Id: %lu\r\n", e->boot_id);
}

static void send_error(engine_t *e, http_req_t *req, int status,
		       const char *error)
{
	char headers[HEADERS_MAX];

	format_boot_header(e, headers);
	http_error(req, status, headers, error);
}

static void send_ok(engine_t *e, http_req_t *req)
{
	json_t *doc = json_pack("{s:b}", "ok", 1);
	char headers[HEADERS_MAX];

	format_boot_header(e, headers);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

/* True where the request has an older fencing number than an earlier request
 * and the engine checks fencing numbers. */
static bool refuses_fence(engine_t *e, http_req_t *req)
{
	uint64_t fence = http_header_u64(req, "X-Fence", 0);

	if (fence >= e->highest_fence) {
		e->highest_fence = fence;
		return false;
	}
	e->old_fence_orders++;
	return !opt.ignore_fence;
}

/*
 * Sends the run's server-sent events from the byte offset on as they are
 * generated. Called with the lock held; releases it while it writes. A fault
 * stops the stream at fault_offset.
 */
static void send_stream(engine_t *e, http_req_t *req, run_t *r, size_t offset,
			fault_t fault)
{
	char headers[HEADERS_MAX];
	size_t fault_offset = SIZE_MAX;
	int rc;

	if (fault != FAULT_NONE)
		fault_offset = offset + 100u * (1 + r->max_tokens / 2);
	format_boot_header(e, headers);
	pthread_mutex_unlock(&e->lock);
	rc = http_stream_begin(req, headers, "text/event-stream");
	pthread_mutex_lock(&e->lock);
	while (rc == 0) {
		AUTO_BUF buf_t chunk = {0};
		size_t end =
			r->body.n < fault_offset ? r->body.n : fault_offset;

		if (end > offset) {
			buf_put(&chunk, r->body.p + offset, end - offset);
			offset = end;
			pthread_mutex_unlock(&e->lock);
			rc = http_stream_part(req, buf_str(&chunk));
			pthread_mutex_lock(&e->lock);
			continue;
		}
		if (r->phase == PHASE_CANCELLED)
			break;
		if (fault == FAULT_DROP_STREAM &&
		    (offset == fault_offset || !run_is_active(r)))
			break;
		if (r->phase == PHASE_DONE && fault == FAULT_NONE)
			break;
		if (fault == FAULT_STALL && !run_is_active(r) &&
		    dev_now_us() > r->ended_us + RUN_RETENTION_US / 2)
			break;
		pthread_cond_wait(&e->changed, &e->lock);
	}
	rc = rc || r->phase != PHASE_DONE || fault != FAULT_NONE;
	pthread_mutex_unlock(&e->lock);
	if (rc)
		http_close_after_response(req);
	else
		http_stream_end(req);
	pthread_mutex_lock(&e->lock);
}

/* Waits until the run ends, then sends its output as one JSON document.
 * Called with the lock held; releases it while it waits or writes. */
static void send_whole_response(engine_t *e, http_req_t *req, run_t *r,
				fault_t fault)
{
	char headers[HEADERS_MAX];
	json_t *doc;

	while (run_is_active(r))
		pthread_cond_wait(&e->changed, &e->lock);
	if (fault == FAULT_STALL) {
		pthread_mutex_unlock(&e->lock);
		dev_sleep_us(RUN_RETENTION_US / 2);
		pthread_mutex_lock(&e->lock);
	}
	if (r->phase != PHASE_DONE || fault != FAULT_NONE) {
		http_close_after_response(req);
		return;
	}
	doc = json_pack("{s:s,s:s,s:[{s:i,s:s}],s:{s:i}}", "id", r->id, "model",
			r->model, "choices", "index", 0, "text",
			r->text.p ? r->text.p : "", "usage",
			"completion_tokens", (int)r->tokens);
	format_boot_header(e, headers);
	pthread_mutex_unlock(&e->lock);
	http_json(req, 200, headers, doc);
	json_decref(doc);
	pthread_mutex_lock(&e->lock);
}

static run_t *new_run(engine_t *e, http_req_t *req, const json_t *doc,
		      const char *model)
{
	run_t *r = xcalloc(1, sizeof(*r));
	const char *prompt = json_string_value(json_object_get(doc, "prompt"));
	json_t *max = json_object_get(doc, "max_tokens");
	str_t priority = http_header(req, "X-Priority");

	r->id = str_dup(http_header(req, "X-Request-Id"));
	r->model = str_dup(str_c(model));
	r->prompt = str_dup(str_c(prompt));
	r->max_tokens = max ? (uint32_t)json_integer_value(max) : 16;
	if (r->max_tokens == 0)
		r->max_tokens = 1;
	r->prefill_steps =
		1 + (uint32_t)strlen(r->prompt) / 4 / PREFILL_TOKENS_PER_STEP;
	r->priority = priority.n ? atoi(priority.p) : 0;
	r->fence = http_header_u64(req, "X-Fence", 0);
	r->stream = json_is_true(json_object_get(doc, "stream"));
	r->started_us = dev_now_us();
	if (find_slot(e, model))
		r->resident_us = find_slot(e, model)->resident_us;
	cds_list_add_tail(&r->node, &e->runs);
	return r;
}

static void send_run(engine_t *e, http_req_t *req, run_t *r, size_t offset,
		     bool stream)
{
	fault_t fault = FAULT_NONE;

	if (take_fault(e, FAULT_STALL))
		fault = FAULT_STALL;
	else if (take_fault(e, FAULT_DROP_STREAM))
		fault = FAULT_DROP_STREAM;
	r->readers++;
	if (stream)
		send_stream(e, req, r, offset, fault);
	else
		send_whole_response(e, req, r, fault);
	r->readers--;
}

static void resume_stream(engine_t *e, http_req_t *req, size_t offset)
{
	run_t *r = find_run(e, http_header(req, "X-Request-Id"));

	if (!r || r->phase == PHASE_CANCELLED || offset > r->body.n)
		send_error(e, req, 404, "no_such_run");
	else
		send_run(e, req, r, offset, true);
}

static void handle_completion(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *model = json_string_value(json_object_get(doc, "model"));
	uint64_t offset = http_header_u64(req, "X-Resume-Offset", UINT64_MAX);
	adapter_slot_t *slot = model ? find_slot(e, model) : NULL;
	run_t *r;

	if (refuses_fence(e, req)) {
		send_error(e, req, 409, "old_fence");
	} else if (offset != UINT64_MAX) {
		resume_stream(e, req, offset);
	} else if (e->leaving) {
		send_error(e, req, 503, "leaving");
	} else if (take_fault(e, FAULT_REFUSE)) {
		e->refused++;
		send_error(e, req, 503, "refused");
	} else if (!model) {
		send_error(e, req, 400, "bad_request");
	} else if (strcmp(model, opt.base) && (!slot || slot->loading)) {
		send_error(e, req, 404, "not_loaded");
	} else {
		r = find_run(e, http_header(req, "X-Request-Id"));
		if (r)
			end_run(e, r, PHASE_CANCELLED);
		r = new_run(e, req, doc, model);
		send_run(e, req, r, 0, r->stream);
	}
}

/* --- adapters and cancellation ------------------------------------------ */

/* Fetches the adapter's weights from the store, or waits for --load-ms where
 * there is none. False where the store fails. Called without the lock. */
static bool fetch_weights(const char *name)
{
	AUTO_BUF buf_t url = {0}, body = {0};
	AUTO_FREE char *escaped = NULL;

	if (!opt.store) {
		dev_sleep_us(opt.load_ms * USEC_PER_MSEC);
		return true;
	}
	escaped = g_uri_escape_string(name, NULL, FALSE);
	buf_printf(&url, "%s/weights?adapter=%s", opt.store, escaped);
	return http_get(url.p, 60000, &body) == 200;
}

static void handle_load(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *name = json_string_value(json_object_get(doc, "lora_name"));
	adapter_slot_t *slot = name ? find_slot(e, name) : NULL;
	uint64_t boot_id = e->boot_id;
	bool inject_failure, fetched;

	if (refuses_fence(e, req))
		return send_error(e, req, 409, "old_fence");
	if (!name)
		return send_error(e, req, 400, "bad_request");
	if (e->leaving)
		return send_error(e, req, 503, "leaving");
	while (slot && slot->loading) {
		pthread_cond_wait(&e->changed, &e->lock);
		slot = find_slot(e, name);
	}
	if (slot)
		return send_ok(e, req);
	slot = find_free_slot(e);
	if (!slot)
		return send_error(e, req, 409, "no_slot");
	slot->name = str_dup(str_c(name));
	slot->loading = true;
	inject_failure = take_fault(e, FAULT_FAIL_LOADS);
	pthread_mutex_unlock(&e->lock);
	fetched = fetch_weights(name);
	pthread_mutex_lock(&e->lock);
	pthread_cond_broadcast(&e->changed);
	if (boot_id != e->boot_id)
		return send_error(e, req, 503, "restarted");
	if (inject_failure || !fetched) {
		e->failed_loads++;
		slot_clear(slot);
		return send_error(e, req, 500, "load_failed");
	}
	slot->loading = false;
	slot->resident_us = dev_now_us();
	e->loads++;
	send_ok(e, req);
}

static void handle_unload(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *name = json_string_value(json_object_get(doc, "lora_name"));
	adapter_slot_t *slot = name ? find_slot(e, name) : NULL;

	if (refuses_fence(e, req))
		return send_error(e, req, 409, "old_fence");
	if (!slot)
		return send_ok(e, req);
	if (slot->loading)
		return send_error(e, req, 409, "loading");
	if (count_active_runs(e, name)) {
		e->evicted_running++;
		return send_error(e, req, 409, "in_use");
	}
	slot_clear(slot);
	e->unloads++;
	send_ok(e, req);
}

static void handle_cancel(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *id = json_string_value(json_object_get(doc, "request_id"));
	run_t *r = find_run(e, str_c(id));

	if (r)
		end_run(e, r, PHASE_CANCELLED);
	send_ok(e, req);
}

static void handle_models(engine_t *e, http_req_t *req)
{
	json_t *data = json_array();
	json_t *doc;
	char headers[HEADERS_MAX];

	for (int i = 0; i < opt.slots; i++) {
		adapter_slot_t *s = &e->slots[i];

		if (s->name)
			json_array_append_new(
				data,
				json_pack("{s:s,s:b,s:i}", "id", s->name,
					  "loading", (int)s->loading, "running",
					  (int)count_active_runs(e, s->name)));
	}
	doc = json_pack("{s:o,s:i}", "data", data, "running",
			(int)count_active_runs(e, NULL));
	format_boot_header(e, headers);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

/* --- admin requests and dispatch ---------------------------------------- */

static void handle_fault(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *kind = json_string_value(json_object_get(doc, "kind"));
	json_t *count = json_object_get(doc, "count");
	uint32_t n = count ? (uint32_t)json_integer_value(count) : 1;

	if (!kind)
		return send_error(e, req, 400, "bad_request");
	if (!strcmp(kind, "restart_empty")) {
		restart_with_no_adapters(e);
		return send_ok(e, req);
	}
	if (!strcmp(kind, "leaving")) {
		e->leaving = true;
		return send_ok(e, req);
	}
	if (!strcmp(kind, "none")) {
		e->leaving = false;
		memset(e->faults, 0, sizeof(e->faults));
		return send_ok(e, req);
	}
	for (fault_t f = FAULT_REFUSE; f < FAULT_COUNT; f++) {
		if (!strcmp(kind, fault_names[f])) {
			e->faults[f] = n;
			return send_ok(e, req);
		}
	}
	send_error(e, req, 400, "unknown_fault");
}

static json_t *run_json(const engine_t *e, const run_t *r)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(r->prompt, strlen(r->prompt), 0));
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:I,s:s,s:I,s:I}", "id", r->id,
			 "model", r->model, "prompt_hash", hash, "state",
			 phase_names[r->phase], "tokens", (int)r->tokens,
			 "fence", (json_int_t)r->fence, "engine", e->name,
			 "started_us", (json_int_t)r->started_us, "resident_us",
			 (json_int_t)r->resident_us);
}

static void handle_runs(engine_t *e, http_req_t *req)
{
	json_t *doc = json_array();
	run_t *r;

	cds_list_for_each_entry (r, &e->ended, node)
		json_array_append_new(doc, run_json(e, r));
	cds_list_for_each_entry (r, &e->runs, node)
		json_array_append_new(doc, run_json(e, r));
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void handle_violations(engine_t *e, http_req_t *req)
{
	json_t *doc = json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "engine", e->name,
		"evicted_running", (json_int_t)e->evicted_running,
		"old_fence_orders", (json_int_t)e->old_fence_orders, "loads",
		(json_int_t)e->loads, "unloads", (json_int_t)e->unloads,
		"failed_loads", (json_int_t)e->failed_loads, "steps",
		(json_int_t)e->steps, "step_runs", (json_int_t)e->step_runs,
		"step_tokens", (json_int_t)e->step_tokens, "max_batch",
		opt.max_batch);

	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void handle_health(engine_t *e, http_req_t *req)
{
	json_t *doc = json_pack("{s:b}", "leaving", (int)e->leaving);
	char headers[HEADERS_MAX];

	format_boot_header(e, headers);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

static void handle_post(engine_t *e, http_req_t *req)
{
	json_t *doc = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0,
				 NULL);

	if (!json_is_object(doc))
		send_error(e, req, 400, "bad_request");
	else if (str_eq(req->path, STR("/v1/completions")))
		handle_completion(e, req, doc);
	else if (str_eq(req->path, STR("/v1/load_lora_adapter")))
		handle_load(e, req, doc);
	else if (str_eq(req->path, STR("/v1/unload_lora_adapter")))
		handle_unload(e, req, doc);
	else if (str_eq(req->path, STR("/v1/cancel")))
		handle_cancel(e, req, doc);
	else if (str_eq(req->path, STR("/admin/fault")))
		handle_fault(e, req, doc);
	else
		send_error(e, req, 404, "not_found");
	json_decref(doc);
}

static void handle_request(void *ctx, http_req_t *req)
{
	engine_t *e = ctx;

	pthread_mutex_lock(&e->lock);
	if (str_eq(req->method, STR("POST")))
		handle_post(e, req);
	else if (str_eq(req->path, STR("/v1/models")))
		handle_models(e, req);
	else if (str_eq(req->path, STR("/health")))
		handle_health(e, req);
	else if (str_eq(req->path, STR("/metrics")))
		http_text(req, 200, "text/plain", buf_str(&e->metrics));
	else if (str_eq(req->path, STR("/admin/runs")))
		handle_runs(e, req);
	else if (str_eq(req->path, STR("/admin/violations")))
		handle_violations(e, req);
	else
		send_error(e, req, 404, "not_found");
	pthread_mutex_unlock(&e->lock);
}

/* --- start -------------------------------------------------------------- */

static int engine_start(engine_t *e, int i)
{
	if (opt.count > 1)
		snprintf(e->name, sizeof(e->name), "%s-%d", opt.name, i + 1);
	else
		snprintf(e->name, sizeof(e->name), "%s", opt.name);
	e->port = opt.port ? opt.port + i : 0;
	e->boot_id = (uint64_t)dev_now_us();
	e->slots = xcalloc((size_t)opt.slots, sizeof(*e->slots));
	CDS_INIT_LIST_HEAD(&e->runs);
	CDS_INIT_LIST_HEAD(&e->ended);
	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->changed, NULL);
	e->http = http_server_start(&e->port, opt.threads, handle_request, e);
	if (!e->http) {
		fprintf(stderr, "engine: cannot listen on port %d\n", e->port);
		return -1;
	}
	printf("%s 127.0.0.1:%d\n", e->name, e->port);
	return pthread_create(&e->stepper, NULL, run_steps, e) ? -1 : 0;
}

static const GOptionEntry options[] = {
	{"name", 0, 0, G_OPTION_ARG_STRING, &opt.name,
	 "engine name; with --count, its prefix", "NAME"},
	{"port", 0, 0, G_OPTION_ARG_INT, &opt.port,
	 "first port; 0: any free ports", "PORT"},
	{"count", 0, 0, G_OPTION_ARG_INT, &opt.count, "number of engines", "N"},
	{"base", 0, 0, G_OPTION_ARG_STRING, &opt.base, "base model", "NAME"},
	{"slots", 0, 0, G_OPTION_ARG_INT, &opt.slots,
	 "adapter slots of each engine", "N"},
	{"max-batch", 0, 0, G_OPTION_ARG_INT, &opt.max_batch,
	 "maximum batch size", "N"},
	{"threads", 0, 0, G_OPTION_ARG_INT, &opt.threads,
	 "maximum concurrent connections", "N"},
	{"step-us", 0, 0, G_OPTION_ARG_INT, &opt.step_us,
	 "step time at batch size 1", "US"},
	{"step-growth", 0, 0, G_OPTION_ARG_DOUBLE, &opt.step_growth,
	 "relative step time added by each further run of the batch", "X"},
	{"load-ms", 0, 0, G_OPTION_ARG_INT, &opt.load_ms,
	 "adapter load time without a store", "MS"},
	{"metrics-lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.metrics_lag_ms,
	 "refresh interval of /metrics", "MS"},
	{"store", 0, 0, G_OPTION_ARG_STRING, &opt.store,
	 "URL of the weight store", "URL"},
	{"ignore-fence", 0, 0, G_OPTION_ARG_NONE, &opt.ignore_fence,
	 "accept requests with an old fencing number", NULL},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *option_context =
		g_option_context_new("- stand-in engines");
	GError *err = NULL;
	engine_t *engines;

	g_option_context_add_main_entries(option_context, options, NULL);
	if (!g_option_context_parse(option_context, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	if (!opt.name)
		opt.name = "runner";
	if (!opt.base)
		opt.base = "base";
	engines = xcalloc((size_t)opt.count, sizeof(*engines));
	for (int i = 0; i < opt.count; i++)
		if (engine_start(&engines[i], i))
			return 1;
	fflush(stdout);
	dev_wait_signal();
	/* Exits at once, without waiting for runs or connections. */
	_Exit(0);
}
