/*
 * streams.c - measures what a daemon adds to streamed completions: compares the
 * time to first token through a daemon and directly from an engine, in
 * alternating requests of one run; then runs many streams at the same time and
 * checks that each is complete.
 *
 *   streams --direct http://127.0.0.1:1 --direct-model a@1 \
 *           --via http://127.0.0.1:2 --via-model a --token T \
 *           --samples 1000 --streams 500 --tokens 100
 */
#include "lib_http.h"
#include "lib_stats.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#define DONE_EVENT "data: [DONE]\n\n"
#define SAMPLE_TOKENS 4

static struct {
	gchar *direct, *direct_model, *via, *via_model, *token;
	gint samples, streams, tokens;
} opt = {.samples = 500, .streams = 500, .tokens = 100};

/* One completion. */
typedef struct stream {
	CURL *easy;
	struct curl_slist *headers;
	buf_t request;
	buf_t response;
	int64_t sent_us;
	int64_t first_us; /* first byte of the response; 0: none yet */
} stream_t;

static size_t receive_body(char *p, size_t size, size_t n, void *arg)
{
	stream_t *s = arg;

	if (!s->first_us)
		s->first_us = dev_now_us();
	buf_put(&s->response, p, size * n);
	return size * n;
}

static void stream_init(stream_t *s, const char *base, const char *model,
			int tokens)
{
	AUTO_BUF buf_t url = {0};
	AUTO_BUF buf_t auth = {0};

	memset(s, 0, sizeof(*s));
	s->easy = curl_easy_init();
	buf_printf(&url, "%s/v1/completions", base);
	buf_printf(&auth, "Authorization: Bearer %s", opt.token);
	buf_printf(&s->request,
		   "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d,"
		   "\"stream\":true}",
		   model, tokens);
	s->headers = curl_slist_append(NULL, "Content-Type: application/json");
	s->headers = curl_slist_append(s->headers, auth.p);
	s->headers = curl_slist_append(s->headers, "X-Deadline-Ms: 600000");
	curl_easy_setopt(s->easy, CURLOPT_URL, url.p);
	curl_easy_setopt(s->easy, CURLOPT_HTTPHEADER, s->headers);
	curl_easy_setopt(s->easy, CURLOPT_POSTFIELDS, s->request.p);
	curl_easy_setopt(s->easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(s->easy, CURLOPT_WRITEDATA, s);
	curl_easy_setopt(s->easy, CURLOPT_PRIVATE, s);
	curl_easy_setopt(s->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(s->easy, CURLOPT_TIMEOUT_MS, 300000L);
}

static void stream_free(stream_t *s)
{
	curl_easy_cleanup(s->easy);
	curl_slist_free_all(s->headers);
	buf_free(&s->request);
	buf_free(&s->response);
}

/* True where the response has all tokens and the end event. */
static bool stream_is_complete(const stream_t *s, int tokens)
{
	size_t end = strlen(DONE_EVENT);
	int events = 0;

	for (const char *at = s->response.p; at && (at = strstr(at, "data: {"));
	     at++)
		events++;
	return events == tokens && s->response.n > end &&
	       strcmp(s->response.p + s->response.n - end, DONE_EVENT) == 0;
}

/* Time to first token in milliseconds; -1 where the response is incomplete. */
static double measure_first_token(stream_t *s)
{
	buf_reset(&s->response);
	s->first_us = 0;
	s->sent_us = dev_now_us();
	if (curl_easy_perform(s->easy) != CURLE_OK ||
	    !stream_is_complete(s, SAMPLE_TOKENS))
		return -1;
	return (double)(s->first_us - s->sent_us) / 1000;
}

static int compare_first_tokens(void)
{
	stats_t direct = {0}, via = {0};
	stream_t direct_stream, via_stream;
	int incomplete = 0;

	stream_init(&direct_stream, opt.direct, opt.direct_model,
		    SAMPLE_TOKENS);
	stream_init(&via_stream, opt.via, opt.via_model, SAMPLE_TOKENS);
	for (int i = 0; i < opt.samples; i++) {
		double direct_ms = measure_first_token(&direct_stream);
		double via_ms = measure_first_token(&via_stream);

		if (direct_ms < 0 || via_ms < 0) {
			if (!incomplete)
				fprintf(stderr, "streams: incomplete: %s\n%s\n",
					direct_stream.response.p,
					via_stream.response.p);
			incomplete++;
			continue;
		}
		stats_add(&direct, direct_ms);
		stats_add(&via, via_ms);
	}
	printf("first token, %d alternating pairs, ms: direct p50 %.2f p99 "
	       "%.2f; "
	       "through the daemon p50 %.2f p99 %.2f; added p50 %.2f p99 "
	       "%.2f; incomplete %d\n",
	       opt.samples, stats_percentile(&direct, 50),
	       stats_percentile(&direct, 99), stats_percentile(&via, 50),
	       stats_percentile(&via, 99),
	       stats_percentile(&via, 50) - stats_percentile(&direct, 50),
	       stats_percentile(&via, 99) - stats_percentile(&direct, 99),
	       incomplete);
	stats_free(&direct);
	stats_free(&via);
	stream_free(&direct_stream);
	stream_free(&via_stream);
	return incomplete;
}

static void perform_all(CURLM *multi)
{
	int running = 1;

	while (running) {
		curl_multi_perform(multi, &running);
		curl_multi_poll(multi, NULL, 0, 100, NULL);
	}
}

static int run_concurrent_streams(void)
{
	stream_t *s = xcalloc((size_t)opt.streams, sizeof(*s));
	stats_t first_token_ms = {0};
	CURLM *multi = curl_multi_init();
	int64_t start_us = dev_now_us(), last_first_us = 0;
	int incomplete = 0;

	for (int i = 0; i < opt.streams; i++) {
		stream_init(&s[i], opt.via, opt.via_model, opt.tokens);
		s[i].sent_us = start_us;
		curl_multi_add_handle(multi, s[i].easy);
	}
	perform_all(multi);
	for (int i = 0; i < opt.streams; i++) {
		if (!stream_is_complete(&s[i], opt.tokens) && incomplete++ < 3)
			fprintf(stderr, "streams: incomplete: %.300s\n",
				s[i].response.p ? s[i].response.p
						: "(nothing)");
		stats_add(&first_token_ms,
			  (double)(s[i].first_us - start_us) / 1000);
		if (s[i].first_us > last_first_us)
			last_first_us = s[i].first_us;
		curl_multi_remove_handle(multi, s[i].easy);
		stream_free(&s[i]);
	}
	printf("%d concurrent streams of %d tokens: %d incomplete; first token "
	       "p50 "
	       "%.0f ms, last %.0f ms; all ended after %.0f ms\n",
	       opt.streams, opt.tokens, incomplete,
	       stats_percentile(&first_token_ms, 50),
	       (double)(last_first_us - start_us) / 1000,
	       (double)(dev_now_us() - start_us) / 1000);
	curl_multi_cleanup(multi);
	stats_free(&first_token_ms);
	free(s);
	return incomplete;
}

static const GOptionEntry options[] = {
	{"direct", 0, 0, G_OPTION_ARG_STRING, &opt.direct,
	 "engine to request directly", "URL"},
	{"direct-model", 0, 0, G_OPTION_ARG_STRING, &opt.direct_model,
	 "adapter that the engine has loaded", "NAME"},
	{"via", 0, 0, G_OPTION_ARG_STRING, &opt.via,
	 "daemon to request through", "URL"},
	{"via-model", 0, 0, G_OPTION_ARG_STRING, &opt.via_model, "adapter",
	 "NAME"},
	{"token", 0, 0, G_OPTION_ARG_STRING, &opt.token, "callers' token",
	 "TOKEN"},
	{"samples", 0, 0, G_OPTION_ARG_INT, &opt.samples,
	 "alternating pairs of requests", "N"},
	{"streams", 0, 0, G_OPTION_ARG_INT, &opt.streams, "concurrent streams",
	 "N"},
	{"tokens", 0, 0, G_OPTION_ARG_INT, &opt.tokens, "tokens of each stream",
	 "N"},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *oc =
		g_option_context_new("- measures streams through a daemon");
	GError *err = NULL;
	int incomplete = 0;

	g_option_context_add_main_entries(oc, options, NULL);
	if (!g_option_context_parse(oc, &argc, &argv, &err) || !opt.via ||
	    !opt.via_model || !opt.token) {
		fprintf(stderr, "streams: %s\n",
			err ? err->message : "an option is missing");
		return 2;
	}
	g_option_context_free(oc);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (opt.direct && opt.direct_model)
		incomplete += compare_first_tokens();
	if (opt.streams)
		incomplete += run_concurrent_streams();
	return incomplete ? 1 : 0;
}
