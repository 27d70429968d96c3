/*
 * load.c - load generator: sends a deployment's requests to running daemons at
 * the arrival times that the deployment file or a trace gives, without waiting
 * for earlier responses (open loop). Like callers, it requests addresses and
 * caches them. It checks every token of the output, and drops the replies of
 * some calls that must not repeat, to resend them under the same key.
 *
 *   load --deployment examples/estate-rounds/bench.toml --phase steady \
 *        --entry 127.0.0.1:8001 --entry 127.0.0.1:8002 --json out.json
 */
#include "lib_deploy.h"
#include "lib_http.h"
#include "lib_stats.h"
#include "lib_token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define ADDRESSES_MAX 8
#define DEFAULT_RETRY_US (200 * USEC_PER_MSEC)
#define CONNECT_TIMEOUT_MS 1000L
/* How long after its deadline a request still waits for its response. */
#define LATE_REPLY_WAIT_US (3 * USEC_PER_SEC)
/* How long after sending a call its reply is dropped on purpose. */
#define REPLY_DROP_DELAY_US (10 * USEC_PER_MSEC)
/* Share of the calls that must not repeat whose first reply is dropped. */
#define DROPPED_REPLY_SHARE 0.2
#define PROGRESS_INTERVAL_US (2 * USEC_PER_SEC)

static struct {
	gchar *deployment, *phase, *trace, *json, *csv, *token_prefix;
	gchar **entries, **engines, **services;
	gint seed;
	gdouble seconds, rate, warm_up;
	gboolean quiet, direct;
} opt = {.seed = 1, .warm_up = -1};

static const GOptionEntry options[] = {
	{"deployment", 0, 0, G_OPTION_ARG_FILENAME, &opt.deployment,
	 "deployment file", "FILE"},
	{"phase", 0, 0, G_OPTION_ARG_STRING, &opt.phase,
	 "phase of the deployment; default: steady", "NAME"},
	{"trace", 0, 0, G_OPTION_ARG_FILENAME, &opt.trace,
	 "take the arrivals from a CSV file", "FILE"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "seed of the arrivals",
	 "N"},
	{"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &opt.seconds,
	 "length of the phase, overriding the deployment", "S"},
	{"warm-up", 0, 0, G_OPTION_ARG_DOUBLE, &opt.warm_up,
	 "length of the warm-up, overriding the deployment", "S"},
	{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rate,
	 "requests per second, overriding the deployment", "N"},
	{"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.entries,
	 "callers' address of a daemon; may be repeated", "IP:PORT"},
	{"check-engine", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.engines,
	 "stand-in engine whose runs are checked at the end", "IP:PORT"},
	{"check-service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.services,
	 "stand-in service whose runs are checked at the end", "IP:PORT"},
	{"token", 0, 0, G_OPTION_ARG_STRING, &opt.token_prefix,
	 "prefix of the callers' tokens: PREFIX-ORGANISATION", "PREFIX"},
	{"json", 0, 0, G_OPTION_ARG_FILENAME, &opt.json,
	 "write the report as JSON", "FILE"},
	{"csv", 0, 0, G_OPTION_ARG_FILENAME, &opt.csv,
	 "write one line for each request", "FILE"},
	{"direct", 0, 0, G_OPTION_ARG_NONE, &opt.direct,
	 "the entries are engines; send to them without a daemon", NULL},
	{"quiet", 0, 0, G_OPTION_ARG_NONE, &opt.quiet, "no progress lines",
	 NULL},
	G_OPTION_ENTRY_NULL};

typedef enum job_kind {
	JOB_COMPLETION,
	JOB_CALL,		 /* service call that may run more than once */
	JOB_CALL_NOT_REPEATABLE, /* service call that must not run twice */
} job_kind_t;

typedef enum job_state {
	JOB_WAITING,   /* for its arrival time or the next retry */
	JOB_RESOLVING, /* waits for addresses */
	JOB_RUNNING,   /* the request has been sent */
	JOB_ENDED,
} job_state_t;

/* Response of a daemon to /v1/addresses. */
typedef struct address_list {
	char *addr[ADDRESSES_MAX];
	size_t n;
	int64_t expires_us; /* from the TTL in the response */
} address_list_t;

/* One request over all its attempts. */
typedef struct job {
	uint32_t id;
	job_kind_t kind;
	job_state_t state;
	const arrival_t *arrival;
	/*
	 * When it was first sent or asked for addresses (0: not yet), its
	 * deadline, when to retry it, and when to drop its reply (0: never).
	 */
	int64_t arrived_us, due_us, retry_at_us, drop_reply_at_us;
	uint32_t attempt;      /* requests sent, over all addresses */
	uint32_t body_version; /* raised when a completion is resent as new */
	const char *model;     /* interned; of a call, the service name */
	char *prompt;	       /* in the current body */
	char address[64];      /* where the last request was sent */
	bool drop_reply;       /* its next reply is to be dropped */
	bool may_have_run;     /* an attempt failed and may have run */
	/* State of the current transfer. */
	CURL *curl;
	struct curl_slist *headers;
	buf_t request, response;
	char served_model[160]; /* the model that the first token names */
	uint32_t tokens;
	/* The end event has come; a token or its model was not as expected. */
	bool done, wrong_output;
	char error_reason[48], error_run[16];
	int64_t error_retry_ms;
	/* The outcome. */
	bool answered, on_time;
	int64_t ended_us, first_token_us, last_token_us;
	char outcome[64];
} job_t;

static deploy_t deploy;
static GPtrArray *jobs; /* of job_t, by arrival */
/* "caller model" -> addresses. */
static GHashTable *address_cache;
/* Final outcome of a failed job -> count. */
static GHashTable *failures;
/* Reason of a retry -> count. */
static GHashTable *retries;
/* Prompt hash -> job, where an error response said that it did not run. */
static GHashTable *refused_not_run;
/* Prompt hash -> job. */
static GHashTable *jobs_by_prompt;
static GRand *rng;
static CURLM *multi;
static int64_t started_us;
/* In load_stall_ms: how long a request waited for its adapter to be loaded. */
static stats_t first_token_ms, token_gap_ms, load_stall_ms, latency_ms;
static uint64_t wrong_answers, double_runs, ran_though_refused;
static uint32_t n_ended, n_in_progress;

static void count_reason(GHashTable *t, const char *reason)
{
	gpointer n = g_hash_table_lookup(t, reason);

	g_hash_table_insert(t, (gpointer)g_intern_string(reason),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static const char *prompt_hash(str_t prompt)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(prompt.p, prompt.n, 0));
	return g_intern_string(hash);
}

/* --- jobs --------------------------------------------------------------- */

static void build_body(job_t *j)
{
	json_t *doc;
	char *text;

	free(j->prompt);
	j->prompt = g_strdup_printf("request %u.%u of run %d", j->id,
				    j->body_version, opt.seed);
	buf_reset(&j->request);
	if (j->kind == JOB_COMPLETION) {
		AUTO_BUF buf_t prompt = {0};

		buf_puts(&prompt, j->prompt);
		while (prompt.n < j->arrival->prompt_tokens * 4u)
			buf_puts(&prompt, " lorem ipsum dolor sit amet");
		free(j->prompt);
		j->prompt = str_dup(buf_str(&prompt));
		doc = json_pack("{s:s,s:s,s:i,s:b}", "model", j->model,
				"prompt", j->prompt, "max_tokens",
				(int)j->arrival->output_tokens, "stream", 1);
	} else {
		doc = json_pack("{s:s}", "entry", j->prompt);
	}
	text = json_dumps(doc, JSON_COMPACT);
	buf_puts(&j->request, text);
	free(text);
	json_decref(doc);
	if (j->kind == JOB_COMPLETION)
		g_hash_table_insert(jobs_by_prompt,
				    (gpointer)prompt_hash(str_c(j->prompt)), j);
}

static job_t *new_job(job_kind_t kind, const arrival_t *a)
{
	job_t *j = xcalloc(1, sizeof(*j));
	char model[256];

	j->id = jobs->len;
	j->kind = kind;
	j->arrival = a;
	j->retry_at_us = a->at_us;
	if (kind == JOB_COMPLETION && a->version)
		snprintf(model, sizeof(model), "%s@%u", a->adapter, a->version);
	else
		snprintf(model, sizeof(model), "%s", a->adapter);
	j->model = g_intern_string(model);
	j->drop_reply = kind == JOB_CALL_NOT_REPEATABLE &&
			g_rand_double(rng) < DROPPED_REPLY_SHARE;
	build_body(j);
	g_ptr_array_add(jobs, j);
	return j;
}

static void end_job(job_t *j, const char *outcome)
{
	j->state = JOB_ENDED;
	j->ended_us = dev_now_us();
	snprintf(j->outcome, sizeof(j->outcome), "%s", outcome);
	n_ended++;
	n_in_progress--;
	if (!j->answered) {
		count_reason(failures, outcome);
		return;
	}
	j->on_time = j->ended_us <= j->due_us;
	stats_add(&latency_ms, (double)(j->ended_us - j->arrived_us) / 1000);
}

static void retry_job(job_t *j, const char *reason, int64_t wait_us)
{
	int64_t now = dev_now_us();

	if (now + wait_us >= j->due_us) {
		end_job(j, reason);
		return;
	}
	count_reason(retries, reason);
	j->state = JOB_WAITING;
	j->retry_at_us = now + wait_us;
}

/* --- responses ---------------------------------------------------------- */

static void parse_error(job_t *j, json_t *doc)
{
	const char *reason = "malformed_error", *run = "unknown";
	json_int_t retry = 0;

	json_unpack(doc, "{s:{s:s,s:s,s?I}}", "error", "reason", &reason, "run",
		    &run, "retry_after_ms", &retry);
	snprintf(j->error_reason, sizeof(j->error_reason), "%s", reason);
	snprintf(j->error_run, sizeof(j->error_run), "%s", run);
	j->error_retry_ms = retry;
}

/*
 * True where the response comes from the expected model: any version of the
 * adapter, or the exact one where the arrival names it.
 */
static bool is_expected_model(const job_t *j, const char *model)
{
	size_t n = strlen(j->arrival->adapter);

	if (j->arrival->version || !strcmp(model, deploy.base_model))
		return !strcmp(model, j->model);
	return !strncmp(model, j->arrival->adapter, n) && model[n] == '@';
}

static void check_token(job_t *j, json_t *doc)
{
	const char *model = "", *text = "";
	char expected[TOKEN_TEXT_MAX];
	int64_t now = dev_now_us();

	json_unpack(doc, "{s:s,s:[{s:s}]}", "model", &model, "choices", "text",
		    &text);
	if (!j->served_model[0])
		snprintf(j->served_model, sizeof(j->served_model), "%s", model);
	token_text(expected, str_c(j->served_model), str_c(j->prompt),
		   j->tokens);
	if (!is_expected_model(j, model) || strcmp(model, j->served_model) ||
	    strcmp(text, expected))
		j->wrong_output = true;
	if (j->tokens == 0 && !j->first_token_us) {
		j->first_token_us = now;
		stats_add(&first_token_ms,
			  (double)(now - j->arrived_us) / 1000);
	} else if (j->tokens) {
		stats_add(&token_gap_ms,
			  (double)(now - j->last_token_us) / 1000);
	}
	j->last_token_us = now;
	j->tokens++;
}

static void parse_event(job_t *j, str_t event)
{
	str_t line, rest = event;
	bool error = false;

	while (rest.n) {
		str_split(rest, '\n', &line, &rest);
		if (str_eq(line, STR("event: error"))) {
			error = true;
		} else if (str_eq(line, STR("data: [DONE]"))) {
			j->wrong_output |= j->done;
			j->done = true;
		} else if (line.n > 6 && !memcmp(line.p, "data: ", 6)) {
			json_t *doc =
				json_loadb(line.p + 6, line.n - 6, 0, NULL);

			if (error)
				parse_error(j, doc);
			else
				check_token(j, doc);
			json_decref(doc);
		}
	}
}

/* Parses the complete server-sent events of the response and removes them. */
static void parse_stream(job_t *j)
{
	char *end;

	while (j->response.n &&
	       (end = memmem(j->response.p, j->response.n, "\n\n", 2))) {
		size_t n = (size_t)(end - j->response.p);

		parse_event(j, str_n(j->response.p, n));
		buf_consume(&j->response, n + 2);
	}
}

static size_t receive_body(char *p, size_t size, size_t n, void *ctx)
{
	job_t *j = ctx;
	long status = 0;

	buf_put(&j->response, p, size * n);
	curl_easy_getinfo(j->curl, CURLINFO_RESPONSE_CODE, &status);
	if (j->state == JOB_RUNNING && j->kind == JOB_COMPLETION &&
	    status == 200)
		parse_stream(j);
	return size * n;
}

/* --- transfers ---------------------------------------------------------- */

static void add_header(job_t *j, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void add_header(job_t *j, const char *fmt, ...)
{
	va_list ap;
	gchar *line;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	j->headers = curl_slist_append(j->headers, line);
	g_free(line);
}

static void prepare_transfer(job_t *j, const char *url, job_state_t state)
{
	int64_t left = j->due_us + LATE_REPLY_WAIT_US - dev_now_us();

	j->state = state;
	buf_reset(&j->response);
	j->served_model[0] = '\0';
	j->tokens = 0;
	j->done = j->wrong_output = false;
	j->error_reason[0] = j->error_run[0] = '\0';
	j->error_retry_ms = 0;
	if (!j->curl)
		j->curl = curl_easy_init();
	curl_easy_reset(j->curl);
	curl_slist_free_all(j->headers);
	j->headers = NULL;
	if (opt.token_prefix)
		add_header(j, "Authorization: Bearer %s-%s", opt.token_prefix,
			   j->arrival->org);
	curl_easy_setopt(j->curl, CURLOPT_URL, url);
	curl_easy_setopt(j->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(j->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(j->curl, CURLOPT_PRIVATE, j);
	curl_easy_setopt(j->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 CONNECT_TIMEOUT_MS);
	curl_easy_setopt(j->curl, CURLOPT_TIMEOUT_MS,
			 (long)(left / USEC_PER_MSEC) + 1);
	curl_easy_setopt(j->curl, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(j->curl, CURLOPT_WRITEDATA, j);
}

static void start_transfer(job_t *j)
{
	curl_easy_setopt(j->curl, CURLOPT_HTTPHEADER, j->headers);
	curl_multi_add_handle(multi, j->curl);
}

static gchar *address_cache_key(const job_t *j)
{
	guint caller = g_str_hash(j->arrival->org) + j->id;

	return g_strdup_printf("%u %s", caller % (guint)MAX(deploy.callers, 1),
			       j->model);
}

static void request_addresses(job_t *j)
{
	guint n = g_strv_length(opt.entries);
	guint i = (guint)g_rand_int_range(rng, 0, (gint32)n);
	gchar *model = g_uri_escape_string(j->model, NULL, FALSE);
	gchar *url = g_strdup_printf("http://%s/v1/addresses?model=%s",
				     opt.entries[i], model);

	prepare_transfer(j, url, JOB_RESOLVING);
	curl_easy_setopt(j->curl, CURLOPT_TIMEOUT_MS, CONNECT_TIMEOUT_MS);
	start_transfer(j);
	g_free(url);
	g_free(model);
}

static const char *request_path(const job_t *j)
{
	static char path[256];

	if (j->kind == JOB_COMPLETION)
		return "/v1/completions";
	snprintf(path, sizeof(path), "/v1/call/%s/entries", j->model);
	return path;
}

static void send_request(job_t *j, const char *address)
{
	gchar *url = g_strdup_printf("http://%s%s", address, request_path(j));
	int64_t now = dev_now_us();

	snprintf(j->address, sizeof(j->address), "%s", address);
	prepare_transfer(j, url, JOB_RUNNING);
	j->attempt++;
	add_header(j, "Content-Type: application/json");
	add_header(j, "Expect:");
	add_header(j, "X-Request-Id: load-%d-%u-%u", opt.seed, j->id,
		   j->body_version);
	add_header(j, "X-Deadline-Ms: %lld",
		   (long long)((j->due_us - now) / USEC_PER_MSEC));
	add_header(j, "X-Priority: %d", j->arrival->priority);
	if (j->kind != JOB_COMPLETION)
		add_header(j, "Idempotency-Key: load-%d-%u", opt.seed, j->id);
	if (j->kind == JOB_CALL_NOT_REPEATABLE)
		add_header(j, "X-Not-Repeatable: 1");
	curl_easy_setopt(j->curl, CURLOPT_POSTFIELDS, j->request.p);
	curl_easy_setopt(j->curl, CURLOPT_POSTFIELDSIZE, (long)j->request.n);
	j->drop_reply_at_us = j->drop_reply ? now + REPLY_DROP_DELAY_US : 0;
	start_transfer(j);
	g_free(url);
}

/*
 * Sends the request to the first cached address on the first attempt and to the
 * others in turn on retries; requests addresses where none is cached.
 */
static void send_job(job_t *j)
{
	gchar *key = address_cache_key(j);
	address_list_t *a = g_hash_table_lookup(address_cache, key);

	if (!j->arrived_us) {
		j->arrived_us = dev_now_us();
		j->due_us = j->arrived_us + j->arrival->deadline_us;
		n_in_progress++;
	}
	if (opt.direct)
		send_request(j,
			     opt.entries[j->id % g_strv_length(opt.entries)]);
	else if (a && a->n && a->expires_us > dev_now_us())
		send_request(j, a->addr[j->attempt % a->n]);
	else
		request_addresses(j);
	g_free(key);
}

static void free_addresses(gpointer p)
{
	address_list_t *a = p;

	for (size_t i = 0; i < a->n; i++)
		free(a->addr[i]);
	free(a);
}

static address_list_t *parse_addresses(str_t body)
{
	json_t *doc = json_loadb(body.p ? body.p : "", body.n, 0, NULL);
	json_t *list = json_object_get(doc, "addresses");
	json_t *ttl = json_object_get(doc, "ttl_ms");
	address_list_t *a = xcalloc(1, sizeof(*a));

	for (size_t i = 0; i < json_array_size(list) && i < ADDRESSES_MAX;
	     i++) {
		const char *s = json_string_value(json_array_get(list, i));

		if (s)
			a->addr[a->n++] = str_dup(str_c(s));
	}
	a->expires_us = dev_now_us() + json_integer_value(ttl) * USEC_PER_MSEC;
	json_decref(doc);
	return a;
}

static void receive_addresses(job_t *j, CURLcode rc, long status)
{
	address_list_t *a;

	if (rc == CURLE_OK && status >= 400 && status < 500) {
		json_t *doc = json_loadb(j->response.p, j->response.n, 0, NULL);

		parse_error(j, doc);
		json_decref(doc);
		end_job(j, j->error_reason);
		return;
	}
	a = parse_addresses(buf_str(&j->response));
	if (rc != CURLE_OK || status != 200 || !a->n) {
		free_addresses(a);
		retry_job(j, "no_addresses", DEFAULT_RETRY_US);
		return;
	}
	g_hash_table_insert(address_cache, address_cache_key(j), a);
	send_request(j, a->addr[j->attempt % a->n]);
}

static void forget_addresses(job_t *j)
{
	gchar *key = address_cache_key(j);

	g_hash_table_remove(address_cache, key);
	g_free(key);
}

/*
 * Handles an error response. A retry time in it allows a retry. A completion
 * whose error says that it did not run is retried as a new request, with a new
 * id and prompt, so that a run of the old one shows as a violation.
 */
static void handle_refusal(job_t *j)
{
	int64_t delay_us = j->error_retry_ms * USEC_PER_MSEC;
	bool did_not_run = !strcmp(j->error_run, "no");

	if (did_not_run && j->kind == JOB_COMPLETION)
		g_hash_table_insert(refused_not_run,
				    (gpointer)prompt_hash(str_c(j->prompt)), j);
	if (!did_not_run)
		j->may_have_run = true;
	if (!j->error_retry_ms) {
		end_job(j, j->error_reason);
		return;
	}
	if (did_not_run) {
		j->body_version += j->kind == JOB_COMPLETION;
		if (j->kind == JOB_COMPLETION)
			build_body(j);
	}
	forget_addresses(j);
	retry_job(j, j->error_reason, delay_us);
}

/* Handles a connection that failed or ended before the response was complete. */
static void handle_connection_error(job_t *j, CURLcode rc)
{
	forget_addresses(j);
	if (rc == CURLE_COULDNT_CONNECT) {
		retry_job(j, "could_not_connect", 0);
		return;
	}
	j->may_have_run = true;
	retry_job(j, rc == CURLE_OPERATION_TIMEDOUT ? "timed_out" : "cut_off",
		  DEFAULT_RETRY_US);
}

static void finish_completion(job_t *j, CURLcode rc, long status)
{
	if (j->error_reason[0]) {
		handle_refusal(j);
	} else if (rc != CURLE_OK || status != 200 || !j->done) {
		handle_connection_error(j, rc);
	} else if (j->wrong_output || j->tokens != j->arrival->output_tokens) {
		wrong_answers++;
		fprintf(stderr, "load: wrong output: id=%u tokens=%u of %u\n",
			j->id, j->tokens, j->arrival->output_tokens);
		end_job(j, "wrong_answer");
	} else {
		j->answered = true;
		end_job(j, "answered");
	}
}

static void finish_call(job_t *j, CURLcode rc, long status)
{
	json_t *doc = json_loadb(j->response.p ? j->response.p : "",
				 j->response.n, 0, NULL);
	char key[64], hash[17];
	const char *reply_key = "", *reply_hash = "";

	if (rc != CURLE_OK) {
		handle_connection_error(j, rc);
		goto out;
	}
	if (status != 200) {
		parse_error(j, doc);
		handle_refusal(j);
		goto out;
	}
	snprintf(key, sizeof(key), "load-%d-%u", opt.seed, j->id);
	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(j->request.p, j->request.n, 0));
	json_unpack(doc, "{s:s,s:s}", "key", &reply_key, "body_hash",
		    &reply_hash);
	if (strcmp(key, reply_key) || strcmp(hash, reply_hash)) {
		wrong_answers++;
		fprintf(stderr, "load: wrong reply: key=%s got=%s\n", key,
			reply_key);
		end_job(j, "wrong_answer");
		goto out;
	}
	j->answered = true;
	end_job(j, "answered");
out:
	json_decref(doc);
}

static void finish_transfer(job_t *j, CURLcode rc)
{
	long status = 0;

	curl_easy_getinfo(j->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(multi, j->curl);
	if (j->state == JOB_RESOLVING) {
		receive_addresses(j, rc, status);
		return;
	}
	if (j->kind != JOB_COMPLETION) {
		finish_call(j, rc, status);
		return;
	}
	if (rc == CURLE_OK && status != 200) {
		json_t *doc = json_loadb(j->response.p ? j->response.p : "",
					 j->response.n, 0, NULL);

		parse_error(j, doc);
		json_decref(doc);
	}
	finish_completion(j, rc, status);
}

/* Closes the connections whose reply is to be lost, and retries those calls. */
static void drop_due_replies(int64_t now)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *j = jobs->pdata[i];

		if (j->state != JOB_RUNNING || !j->drop_reply_at_us ||
		    now < j->drop_reply_at_us)
			continue;
		curl_multi_remove_handle(multi, j->curl);
		curl_easy_cleanup(j->curl);
		j->curl = NULL;
		j->drop_reply = false;
		j->drop_reply_at_us = 0;
		j->may_have_run = true;
		retry_job(j, "reply_dropped", DEFAULT_RETRY_US);
	}
}

/* --- main loop ---------------------------------------------------------- */

static void print_progress(int64_t now)
{
	uint32_t answered = 0, late = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];

		answered += j->answered;
		late += j->answered && !j->on_time;
	}
	fprintf(stderr,
		"%5.1fs %u of %u ended, %u answered, %u late, %u in progress\n",
		(double)(now - started_us) / USEC_PER_SEC, n_ended, jobs->len,
		answered, late, n_in_progress);
}

static void start_due_jobs(int64_t now)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *j = jobs->pdata[i];

		if (j->state != JOB_WAITING)
			continue;
		if (!j->arrived_us && j->arrival->at_us > now - started_us)
			continue;
		if (j->arrived_us && j->retry_at_us > now)
			continue;
		send_job(j);
	}
}

static void run_jobs(void)
{
	int64_t next_progress = 0;

	started_us = dev_now_us();
	while (n_ended < jobs->len) {
		int64_t now = dev_now_us();
		CURLMsg *msg;
		int left;

		start_due_jobs(now);
		drop_due_replies(now);
		curl_multi_perform(multi, &left);
		while ((msg = curl_multi_info_read(multi, &left))) {
			CURLcode rc = msg->data.result;
			job_t *j;

			curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
					  (char **)&j);
			finish_transfer(j, rc);
		}
		if (!opt.quiet && now >= next_progress) {
			print_progress(now);
			next_progress = now + PROGRESS_INTERVAL_US;
		}
		curl_multi_poll(multi, NULL, 0, 2, NULL);
	}
}

/* --- checks of the stand-ins' records ----------------------------------- */

static json_t *fetch_json(const char *address, const char *path)
{
	AUTO_BUF buf_t body = {0};
	gchar *url = g_strdup_printf("http://%s%s", address, path);
	json_t *doc = NULL;

	if (http_get(url, 10000, &body) == 200)
		doc = json_loadb(body.p, body.n, 0, NULL);
	if (!doc)
		fprintf(stderr, "load: no JSON response from %s\n", url);
	g_free(url);
	return doc;
}

/*
 * Sums over all checked engines: steps times the maximum batch size, the batch
 * sizes of all steps, and the tokens of completions that were on time.
 */
typedef struct engine_sums {
	double batch_places, filled_places, useful_tokens;
	uint64_t loads, evicted_running;
} engine_sums_t;

/* Counts a run whose caller was told that it did not run; adds its figures. */
static void check_run(const json_t *run, engine_sums_t *sums)
{
	const char *state = json_string_value(json_object_get(run, "state"));
	const char *hash =
		json_string_value(json_object_get(run, "prompt_hash"));
	json_int_t resident =
		json_integer_value(json_object_get(run, "resident_us"));
	const char *key = hash ? g_intern_string(hash) : "";
	job_t *j = g_hash_table_lookup(jobs_by_prompt, key);

	if (g_hash_table_contains(refused_not_run, key)) {
		ran_though_refused++;
		fprintf(stderr,
			"load: request %u was refused as not run, "
			"but ran\n",
			j ? j->id : 0);
	}
	if (j && j->on_time && state && !strcmp(state, "done"))
		sums->useful_tokens += j->tokens;
	if (j && j->answered && !j->arrival->warm_up)
		stats_add(&load_stall_ms,
			  MAX(0, (double)(resident - j->arrived_us) / 1000));
}

static void check_engines(engine_sums_t *sums)
{
	for (gchar **e = opt.engines; e && *e; e++) {
		json_t *runs = fetch_json(*e, "/admin/runs");
		json_t *v = fetch_json(*e, "/admin/violations");
		json_t *run;
		size_t i;
		json_int_t steps = 0, filled = 0, batch = 1, loads = 0,
			   evicted = 0;

		json_array_foreach(runs, i, run) check_run(run, sums);
		json_unpack(v, "{s:I,s:I,s:I,s:I,s:I}", "steps", &steps,
			    "step_runs", &filled, "max_batch", &batch, "loads",
			    &loads, "evicted_running", &evicted);
		sums->batch_places += (double)(steps * batch);
		sums->filled_places += (double)filled;
		sums->loads += (uint64_t)loads;
		sums->evicted_running += (uint64_t)evicted;
		json_decref(runs);
		json_decref(v);
	}
}

/* How often all services together ran the calls with this key. */
static uint32_t count_runs(GPtrArray *docs, const char *key)
{
	uint32_t n = 0;

	for (guint i = 0; i < docs->len; i++)
		n += (uint32_t)json_integer_value(
			json_object_get(docs->pdata[i], key));
	return n;
}

static void check_services(void)
{
	GPtrArray *docs =
		g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);

	for (gchar **s = opt.services; s && *s; s++) {
		json_t *doc = fetch_json(*s, "/admin/runs");

		if (doc)
			g_ptr_array_add(docs, doc);
	}
	for (guint i = 0; docs->len && i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];
		char key[64];
		uint32_t n;

		if (j->kind == JOB_COMPLETION)
			continue;
		snprintf(key, sizeof(key), "load-%d-%u", opt.seed, j->id);
		n = count_runs(docs, key);
		if (j->kind == JOB_CALL_NOT_REPEATABLE && n > 1) {
			double_runs++;
			fprintf(stderr, "load: key %s ran %u times\n", key, n);
		}
		if (!j->answered && !j->may_have_run && n > 0) {
			ran_though_refused++;
			fprintf(stderr,
				"load: key %s was refused as not run, "
				"but ran\n",
				key);
		}
	}
	g_ptr_array_free(docs, TRUE);
}

/* --- report ------------------------------------------------------------- */

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static json_t *counts_json(GHashTable *t)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(t), compare_names);
	json_t *doc = json_object();

	for (GList *k = keys; k; k = k->next)
		json_object_set_new(doc, k->data,
				    json_integer(GPOINTER_TO_UINT(
					    g_hash_table_lookup(t, k->data))));
	g_list_free(keys);
	return doc;
}

static json_t *report_json(const engine_sums_t *sums)
{
	uint32_t answered = 0, on_time = 0, completions = 0;
	double seconds = (double)(dev_now_us() - started_us) / USEC_PER_SEC;
	json_t *doc;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];

		answered += j->answered;
		on_time += j->on_time;
		completions += j->answered && j->kind == JOB_COMPLETION;
	}
	doc = json_pack("{s:s,s:i,s:i,s:i,s:i,s:f,s:f}", "deployment",
			deploy.name ? deploy.name : "", "seed", opt.seed,
			"requests", (int)jobs->len, "answered", (int)answered,
			"on_time_count", (int)on_time, "on_time",
			jobs->len ? (double)on_time / jobs->len : 0,
			"requests_per_s", answered / seconds);
	json_object_set_new(doc, "completions_answered",
			    json_integer(completions));
	json_object_set_new(doc, "first_token_ms", stats_json(&first_token_ms));
	json_object_set_new(doc, "between_tokens_ms",
			    stats_json(&token_gap_ms));
	json_object_set_new(doc, "latency_ms", stats_json(&latency_ms));
	json_object_set_new(doc, "stall_ms", stats_json(&load_stall_ms));
	json_object_set_new(doc, "stall_s",
			    json_real(stats_sum(&load_stall_ms) / 1000));
	json_object_set_new(doc, "loads",
			    json_integer((json_int_t)sums->loads));
	if (sums->batch_places > 0) {
		json_object_set_new(
			doc, "batch_efficiency",
			json_real(sums->filled_places / sums->batch_places));
		json_object_set_new(
			doc, "useful_batch_efficiency",
			json_real(sums->useful_tokens / sums->batch_places));
	}
	json_object_set_new(doc, "refused", counts_json(failures));
	json_object_set_new(doc, "retries", counts_json(retries));
	json_object_set_new(
		doc, "violations",
		json_pack("{s:I,s:I,s:I,s:I}", "wrong_answers",
			  (json_int_t)wrong_answers, "double_runs",
			  (json_int_t)double_runs, "ran_though_refused",
			  (json_int_t)ran_though_refused, "evicted_running",
			  (json_int_t)sums->evicted_running));
	return doc;
}

static void print_counts(const char *title, json_t *doc)
{
	const char *key;
	json_t *n;

	json_object_foreach(doc, key, n)
		printf("%-28s %lld\n",
		       g_intern_string(g_strconcat(title, key, NULL)),
		       (long long)json_integer_value(n));
}

static void print_stats(const char *name, const stats_t *s)
{
	printf("%-28s p50 %.1f  p95 %.1f  p99 %.1f\n", name,
	       stats_percentile(s, 50), stats_percentile(s, 95),
	       stats_percentile(s, 99));
}

static void print_report(json_t *doc)
{
	printf("%-28s %lld\n", "requests",
	       (long long)json_integer_value(json_object_get(doc, "requests")));
	printf("%-28s %lld\n", "answered completely",
	       (long long)json_integer_value(json_object_get(doc, "answered")));
	printf("%-28s %lld\n", "of these on time",
	       (long long)json_integer_value(
		       json_object_get(doc, "on_time_count")));
	printf("%-28s %.1f\n", "responses per second",
	       json_real_value(json_object_get(doc, "requests_per_s")));
	print_stats("first token, ms", &first_token_ms);
	print_stats("between tokens, ms", &token_gap_ms);
	print_stats("load stall, ms", &load_stall_ms);
	printf("%-28s %.2f\n", "load stall, total in s",
	       json_real_value(json_object_get(doc, "stall_s")));
	printf("%-28s %.3f\n", "batch efficiency",
	       json_real_value(json_object_get(doc, "batch_efficiency")));
	printf("%-28s %.3f\n", "useful batch efficiency",
	       json_real_value(
		       json_object_get(doc, "useful_batch_efficiency")));
	print_counts("failed: ", json_object_get(doc, "refused"));
	print_counts("retried: ", json_object_get(doc, "retries"));
	print_counts("violations: ", json_object_get(doc, "violations"));
}

static void write_csv(const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f) {
		fprintf(stderr, "%s: cannot be written\n", path);
		return;
	}
	fprintf(f, "id,kind,model,arrival_ms,first_token_ms,ended_ms,attempts,"
		   "tokens,on_time,outcome\n");
	for (guint i = 0; i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];

		fprintf(f, "%u,%d,%s,%.1f,%.1f,%.1f,%u,%u,%d,%s\n", j->id,
			(int)j->kind, j->model,
			(double)(j->arrived_us - started_us) / 1000,
			j->first_token_us
				? (double)(j->first_token_us - started_us) /
					  1000
				: 0,
			(double)(j->ended_us - started_us) / 1000, j->attempt,
			j->tokens, j->on_time, j->outcome);
	}
	fclose(f);
}

/* --- start -------------------------------------------------------------- */

/* Adds the deployment's service calls at even intervals until end_us. */
static void add_calls(int64_t end_us)
{
	double at = 0;

	if (deploy.calls_per_s <= 0 || !opt.services)
		return;
	for (at = 0; at < (double)end_us;
	     at += USEC_PER_SEC / deploy.calls_per_s) {
		arrival_t *a = xcalloc(1, sizeof(*a));
		bool once = g_rand_double(rng) < deploy.not_repeatable_share;

		a->at_us = (int64_t)at;
		a->adapter = g_intern_string(deploy.service_name);
		a->org = g_intern_string(deploy.orgs[g_rand_int_range(
			rng, 0, (gint32)deploy.n_orgs)]);
		a->deadline_us = 15 * USEC_PER_SEC;
		new_job(once ? JOB_CALL_NOT_REPEATABLE : JOB_CALL, a);
	}
}

static GArray *make_arrivals(void)
{
	const char *name = opt.phase ? opt.phase : "steady";
	const phase_t *found;
	phase_t phase;

	if (deploy_load(&deploy, opt.deployment))
		return NULL;
	if (opt.trace)
		return trace_read(opt.trace);
	found = deploy_phase(&deploy, name);
	if (!found) {
		fprintf(stderr, "load: no phase '%s' in %s\n", name,
			opt.deployment);
		return NULL;
	}
	phase = *found;
	if (opt.seconds > 0)
		phase.seconds = opt.seconds;
	if (opt.rate > 0)
		deploy.requests_per_s = opt.rate;
	if (opt.warm_up >= 0)
		deploy.warm_up_s = opt.warm_up;
	return deploy_arrivals(&deploy, &phase, (uint64_t)opt.seed);
}

static int run(const GArray *arrivals)
{
	engine_sums_t sums = {0};
	const arrival_t *last;
	json_t *doc;
	bool violated;

	for (guint i = 0; i < arrivals->len; i++)
		new_job(JOB_COMPLETION, &g_array_index(arrivals, arrival_t, i));
	if (arrivals->len) {
		last = &g_array_index(arrivals, arrival_t, arrivals->len - 1);
		add_calls(last->at_us);
	}
	run_jobs();
	check_engines(&sums);
	check_services();
	doc = report_json(&sums);
	print_report(doc);
	if (opt.json && json_dump_file(doc, opt.json, JSON_INDENT(1)))
		fprintf(stderr, "%s: cannot be written\n", opt.json);
	if (opt.csv)
		write_csv(opt.csv);
	json_decref(doc);
	violated = wrong_answers || double_runs || ran_though_refused ||
		   sums.evicted_running;
	return violated ? 1 : 0;
}

int main(int argc, char **argv)
{
	GOptionContext *option_context =
		g_option_context_new("- load generator");
	GError *err = NULL;
	GArray *arrivals;

	g_option_context_add_main_entries(option_context, options, NULL);
	if (!g_option_context_parse(option_context, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	if (!opt.deployment || !opt.entries) {
		fprintf(stderr, "load: --deployment and --entry are needed\n");
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 512L);
	jobs = g_ptr_array_new();
	address_cache = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_addresses);
	failures = g_hash_table_new(g_str_hash, g_str_equal);
	retries = g_hash_table_new(g_str_hash, g_str_equal);
	refused_not_run = g_hash_table_new(g_direct_hash, g_direct_equal);
	jobs_by_prompt = g_hash_table_new(g_direct_hash, g_direct_equal);
	rng = g_rand_new_with_seed((guint32)opt.seed);
	arrivals = make_arrivals();
	if (!arrivals)
		return 2;
	return run(arrivals);
}
