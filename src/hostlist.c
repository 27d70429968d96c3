/* hostlist.c - a thread that polls the platform's host list by libcurl. */
#include "hostlist.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>

#include "curl_response.h"
#include "json.h"
#include "log.h"

#define RESPONSE_MAX (8u << 20)
#define POLL_TIMEOUT_MS 2000L

struct hostlist {
	char *url;
	int64_t poll_ms;
	hostlist_fn_t fn;
	void *ctx;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool stop;
};

/* A row that cannot be read, or has no name or another state, names no host. */
int hostlist_parse(str_t body, hostlist_fn_t fn, void *ctx)
{
	AUTO_JSON json_t *doc = json_load_list(body, "hosts");
	const json_t *hosts = json_object_get(doc, "hosts");
	const json_t *row;
	size_t i;

	json_array_foreach(hosts, i, row)
	{
		str_t name = json_text(row, "name");
		str_t state = json_text(row, "state");
		bool leaving = str_eq(state, STR("leaving"));

		if (!name.n || !json_is_readable(row) ||
		    (!leaving && !str_eq(state, STR("live"))))
			continue;
		fn(ctx, name, leaving);
	}
	return json_is_array(hosts) ? 0 : -1;
}

static void poll_once(hostlist_t *h)
{
	CLEANUP(curl_body_free) curl_body_t body = {.max = RESPONSE_MAX};
	CURL *curl = curl_body_handle(&body, h->url, POLL_TIMEOUT_MS);
	const char *error = curl_body_perform(&body, curl);
	int status = body.response.lines.status;

	if (!error && status != 200)
		error = "the HTTP status is not 200";
	else if (!error &&
		 hostlist_parse(buf_str(&body.bytes), h->fn, h->ctx) < 0)
		error = "the response is not a list of hosts";
	if (error)
		log_event(LOG_INFO, "host_list_failed", KV_C("error", error),
			  kv_i("status", status));
}

/* Waits until the next poll is due; false if the thread has to stop. */
static bool wait_for_next_poll(hostlist_t *h)
{
	struct timespec deadline;
	bool stop;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += h->poll_ms / 1000;
	deadline.tv_nsec += h->poll_ms % 1000 * 1000000L;
	deadline.tv_sec += deadline.tv_nsec / 1000000000L;
	deadline.tv_nsec %= 1000000000L;
	pthread_mutex_lock(&h->lock);
	while (!h->stop && pthread_cond_timedwait(&h->wake, &h->lock,
						  &deadline) != ETIMEDOUT)
		;
	stop = h->stop;
	pthread_mutex_unlock(&h->lock);
	return !stop;
}

static void *hostlist_thread(void *arg)
{
	hostlist_t *h = arg;

	do
		poll_once(h);
	while (wait_for_next_poll(h));
	return NULL;
}

static void hostlist_free(hostlist_t *h)
{
	pthread_cond_destroy(&h->wake);
	pthread_mutex_destroy(&h->lock);
	free(h->url);
	free(h);
}

hostlist_t *hostlist_start(str_t url, int64_t poll_ms, hostlist_fn_t fn,
			   void *ctx)
{
	hostlist_t *h = xcalloc(1, sizeof(*h));
	pthread_condattr_t attr;

	h->url = str_dup(url);
	h->poll_ms = poll_ms;
	h->fn = fn;
	h->ctx = ctx;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&h->wake, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_init(&h->lock, NULL);
	errno = pthread_create(&h->thread, NULL, hostlist_thread, h);
	if (!errno)
		return h;
	log_event(LOG_ERR, "host_list_start_failed",
		  KV_C("error", strerror(errno)));
	hostlist_free(h);
	return NULL;
}

void hostlist_stop(hostlist_t *h)
{
	if (!h)
		return;
	pthread_mutex_lock(&h->lock);
	h->stop = true;
	pthread_cond_signal(&h->wake);
	pthread_mutex_unlock(&h->lock);
	pthread_join(h->thread, NULL);
	hostlist_free(h);
}
