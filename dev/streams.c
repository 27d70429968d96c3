/*
 * streams.c - the daemon's own share of streamed completions: time to first
 * token through a daemon against direct calls to an engine, in one run and by
 * turns; and many streams at once, each checked to be whole.
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

#define DONE_END "data: [DONE]\n\n"
#define TOKENS_OF_SAMPLE 4

static struct {
	gchar *direct, *direct_model, *via, *via_model, *token;
	gint samples, streams, tokens;
} opt = {.samples = 500, .streams = 500, .tokens = 100};

/* One completion. */
typedef struct stream {
	CURL *easy;
	struct curl_slist *headers;
	buf_t request;
	buf_t answer;
	int64_t sent_us;
	int64_t first_us; /* first byte of the answer; 0: none */
} stream_t;

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
	stream_t *s = arg;

	if (!s->first_us)
		s->first_us = dev_now_us();
	buf_put(&s->answer, p, size * n);
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
	curl_easy_setopt(s->easy, CURLOPT_WRITEFUNCTION, on_body);
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
	buf_free(&s->answer);
}

/* All tokens and the end mark. */
static bool stream_whole(const stream_t *s, int tokens)
{
	size_t end = strlen(DONE_END);
	int events = 0;

	for (const char *at = s->answer.p; at && (at = strstr(at, "data: {"));
	     at++)
		events++;
	return events == tokens && s->answer.n > end &&
	       strcmp(s->answer.p + s->answer.n - end, DONE_END) == 0;
}

/* One sample in milliseconds; negative where the answer is not whole. */
static double sample(stream_t *s)
{
	buf_reset(&s->answer);
	s->first_us = 0;
	s->sent_us = dev_now_us();
	if (curl_easy_perform(s->easy) != CURLE_OK ||
	    !stream_whole(s, TOKENS_OF_SAMPLE))
		return -1;
	return (double)(s->first_us - s->sent_us) / 1000;
}

static int first_tokens(void)
{
	stats_t direct = {0}, via = {0};
	stream_t d, v;
	int bad = 0;

	stream_init(&d, opt.direct, opt.direct_model, TOKENS_OF_SAMPLE);
	stream_init(&v, opt.via, opt.via_model, TOKENS_OF_SAMPLE);
	for (int i = 0; i < opt.samples; i++) {
		double a = sample(&d);
		double b = sample(&v);

		if (a < 0 || b < 0) {
			if (!bad)
				fprintf(stderr, "not whole: %s\n%s\n",
					d.answer.p, v.answer.p);
			bad++;
			continue;
		}
		stats_add(&direct, a);
		stats_add(&via, b);
	}
	printf("first token, %d by turns, ms: direct p50 %.2f p99 %.2f; "
	       "through the daemon p50 %.2f p99 %.2f; added p50 %.2f p99 "
	       "%.2f; not whole %d\n",
	       opt.samples, stats_percentile(&direct, 50),
	       stats_percentile(&direct, 99), stats_percentile(&via, 50),
	       stats_percentile(&via, 99),
	       stats_percentile(&via, 50) - stats_percentile(&direct, 50),
	       stats_percentile(&via, 99) - stats_percentile(&direct, 99), bad);
	stats_free(&direct);
	stats_free(&via);
	stream_free(&d);
	stream_free(&v);
	return bad;
}

static void run_all(CURLM *multi)
{
	int running = 1;

	while (running) {
		curl_multi_perform(multi, &running);
		curl_multi_poll(multi, NULL, 0, 100, NULL);
	}
}

static int many(void)
{
	stream_t *s = xcalloc((size_t)opt.streams, sizeof(*s));
	stats_t first = {0};
	CURLM *multi = curl_multi_init();
	int64_t from = dev_now_us(), last_first = 0;
	int cut = 0;

	for (int i = 0; i < opt.streams; i++) {
		stream_init(&s[i], opt.via, opt.via_model, opt.tokens);
		s[i].sent_us = from;
		curl_multi_add_handle(multi, s[i].easy);
	}
	run_all(multi);
	for (int i = 0; i < opt.streams; i++) {
		if (!stream_whole(&s[i], opt.tokens) && cut++ < 3)
			fprintf(stderr, "not whole: %.300s\n",
				s[i].answer.p ? s[i].answer.p : "(nothing)");
		stats_add(&first, (double)(s[i].first_us - from) / 1000);
		if (s[i].first_us > last_first)
			last_first = s[i].first_us;
		curl_multi_remove_handle(multi, s[i].easy);
		stream_free(&s[i]);
	}
	printf("%d streams at once of %d tokens: %d not whole; first token p50 "
	       "%.0f ms, last %.0f ms; all ended after %.0f ms\n",
	       opt.streams, opt.tokens, cut, stats_percentile(&first, 50),
	       (double)(last_first - from) / 1000,
	       (double)(dev_now_us() - from) / 1000);
	curl_multi_cleanup(multi);
	stats_free(&first);
	free(s);
	return cut;
}

static const GOptionEntry options[] = {
	{"direct", 0, 0, G_OPTION_ARG_STRING, &opt.direct, "engine", "URL"},
	{"direct-model", 0, 0, G_OPTION_ARG_STRING, &opt.direct_model,
	 "loaded adapter of the engine", "NAME"},
	{"via", 0, 0, G_OPTION_ARG_STRING, &opt.via, "daemon", "URL"},
	{"via-model", 0, 0, G_OPTION_ARG_STRING, &opt.via_model, "adapter",
	 "NAME"},
	{"token", 0, 0, G_OPTION_ARG_STRING, &opt.token, "callers' token",
	 "TOKEN"},
	{"samples", 0, 0, G_OPTION_ARG_INT, &opt.samples, "pairs by turns",
	 "N"},
	{"streams", 0, 0, G_OPTION_ARG_INT, &opt.streams, "streams at once",
	 "N"},
	{"tokens", 0, 0, G_OPTION_ARG_INT, &opt.tokens, "tokens of each", "N"},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *oc = g_option_context_new("- streams by a daemon");
	GError *err = NULL;
	int bad = 0;

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
		bad += first_tokens();
	if (opt.streams)
		bad += many();
	return bad ? 1 : 0;
}
