/*
 * budget.c - callers, the platform's list and three runners of a plain service, around
 * three daemons. The runners fail 45 in 100 requests, twice for some seconds; between the
 * two times, the host that dispatches is killed. Counts what reaches the runners beyond
 * the first arrival of each request, in each window of ten seconds.
 *
 *   budget DAEMON DIR RECORD TROUBLE
 */
#include "lab.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOSTS 3
#define RUNNERS 3
#define CALLERS 60
#define PERIOD_S 0.4   /* between two lookups of a caller */
#define DEADLINE_S 1.5 /* time limit of a lookup */
#define TRIES 2	       /* one retry, as SYSTEM.md has for lookups */
#define WORK_S 0.008
#define FAIL_PER_100 45
#define EVENTS_MAX 40000
/* Seconds from the start of the traffic. */
#define GREY_1 11.0
#define GREY_1_END 15.5
#define KILL_AT 15.6
#define GREY_2 18.8
#define GREY_2_END 21.2
#define END 22.5
/* The bounds of the settings. */
#define WINDOW_S 10.0
#define RATIO 0.2
#define SLACK 64.0
#define CONTACT_S 3.0

typedef struct runner {
	char ip[32];
	int port, fd;
	char id[16];
} runner_t;

typedef struct event {
	double at;
	bool extra; /* an arrival beyond the first of its request */
	bool ran;
} event_t;

static lab_t lab;
static runner_t runners[RUNNERS];
static double began;
static double killed; /* 0: no host was */
static atomic_int dead_host;
static atomic_bool over;
static atomic_uint next_id;
static atomic_uint n_answers[6];

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static event_t arrivals[EVENTS_MAX];
static int n_arrivals;
static double sent[EVENTS_MAX];
static int n_sent;
static unsigned char n_of_request[EVENTS_MAX];

static bool is_grey(double t)
{
	t -= began;
	return (t >= GREY_1 && t < GREY_1_END) ||
	       (t >= GREY_2 && t < GREY_2_END);
}

/* Runners. */

/* Of all requests of the grey times, FAIL_PER_100 in 100 in an irregular order. */
static bool draw_failure(void)
{
	static atomic_uint n;
	uint64_t x = (uint64_t)(n++ + 1) * 0x9e3779b97f4a7c15ull;

	x ^= x >> 29;
	x *= 0xbf58476d1ce4e5b9ull;
	return (x >> 32) % 100 < FAIL_PER_100;
}

static void write_rows(char *out, size_t size)
{
	size_t n = 0;

	for (int i = 0; i < RUNNERS; i++)
		n += (size_t)snprintf(
			out + n, size - n,
			"%s{\"id\":\"%s\",\"service\":\"app\","
			"\"addr\":\"%s:%d\",\"zone\":\"z1\","
			"\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
			"\"cold_left_ms\":0,\"models\":[]}",
			i ? "," : "", runners[i].id, runners[i].ip,
			runners[i].port);
}

static void note_arrival(unsigned int id, const char *runner, int host,
			 bool fails)
{
	double t = now_s();

	pthread_mutex_lock(&lock);
	if (id < EVENTS_MAX && n_arrivals < EVENTS_MAX) {
		event_t *e = &arrivals[n_arrivals++];

		e->at = t;
		e->extra = n_of_request[id]++ > 0;
		e->ran = true;
		record("run id=%u runner=%s host=%d number=%d answer=%d", id,
		       runner, host, n_of_request[id], fails ? 500 : 200);
	}
	pthread_mutex_unlock(&lock);
}

typedef struct served {
	runner_t *r;
	conn_t c;
} served_t;

static void *serve_conn(void *arg)
{
	served_t *s = arg;
	msg_t *m = calloc(1, sizeof(*m));
	char out[512];
	int status;

	while (read_msg(&s->c, m, false, &status)) {
		const char *id = msg_field(m, "Request-Id");
		const char *expected = msg_field(m, "Expect-Instance");
		bool fails = is_grey(now_s()) && draw_failure();
		int n;

		if (!strncmp(m->line, "GET /healthz ", 13)) {
			n = snprintf(out, sizeof(out),
				     "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
				     "Content-Length: 0\r\n\r\n",
				     s->r->id);
		} else if (!id || (expected && strcmp(expected, s->r->id))) {
			n = snprintf(out, sizeof(out),
				     "HTTP/1.1 421 Misdirected Request\r\n"
				     "Request-Id: %s\r\nInstance-Id: %s\r\n"
				     "Not-Executed: 1\r\n"
				     "Content-Length: 0\r\n\r\n",
				     id ? id : "", s->r->id);
		} else {
			note_arrival((unsigned int)strtoul(id, NULL, 16),
				     s->r->id, peer_host(&lab, s->c.fd), fails);
			sleep_s(WORK_S);
			n = snprintf(out, sizeof(out),
				     "HTTP/1.1 %s\r\nRequest-Id: %s\r\n"
				     "Response-Signature: %s.%s\r\n"
				     "Content-Length: 4\r\n\r\nbody",
				     fails ? "500 Internal Server Error"
					   : "200 OK",
				     id, s->r->id, id);
		}
		msg_free(m);
		if (!send_all(s->c.fd, out, (size_t)n))
			break;
	}
	msg_free(m);
	close(s->c.fd);
	free(m);
	free(s);
	return NULL;
}

static void *accept_runner(void *arg)
{
	runner_t *r = arg;

	for (;;) {
		int fd = accept4(r->fd, NULL, NULL, SOCK_CLOEXEC);
		served_t *s = calloc(1, sizeof(*s));
		pthread_t t;

		if (fd < 0)
			return NULL;
		s->r = r;
		s->c.fd = fd;
		pthread_create(&t, NULL, serve_conn, s);
		pthread_detach(t);
	}
}

static void start_runners(void)
{
	for (int i = 0; i < RUNNERS; i++) {
		runner_t *r = &runners[i];
		pthread_t t;

		snprintf(r->ip, sizeof(r->ip), "%s.%d", lab.net, 20 + i);
		snprintf(r->id, sizeof(r->id), "i-%d", i + 1);
		r->fd = listen_on(r->ip, &r->port);
		if (r->fd < 0)
			exit(2);
		pthread_create(&t, NULL, accept_runner, r);
		pthread_detach(t);
	}
}

/* Callers. */

static unsigned int note_sent(int host)
{
	unsigned int id = next_id++;

	pthread_mutex_lock(&lock);
	if (n_sent < EVENTS_MAX)
		sent[n_sent++] = now_s();
	pthread_mutex_unlock(&lock);
	record("sent id=%x host=%d", id, host);
	return id;
}

/* A consumer, with its open channel. */
typedef struct consumer {
	int host;
	conn_t c;
	msg_t m;
} consumer_t;

static void close_channel(consumer_t *u)
{
	if (u->c.fd >= 0)
		close(u->c.fd);
	u->c.fd = -1;
}

static void next_host(consumer_t *u)
{
	do
		u->host = u->host % HOSTS + 1;
	while (u->host == dead_host);
	close_channel(u);
}

static void open_channel(consumer_t *u)
{
	char ip[32];

	if (u->host == dead_host)
		next_host(u);
	host_ip(&lab, u->host, ip, sizeof(ip));
	u->c.n = 0;
	u->c.fd = connect_to(ip, lab.front, 1.0);
}

/* One request on the channel. wait: the answer's Retry-After, or 0. */
static bool ask(consumer_t *u, double until, double *wait)
{
	unsigned int id = note_sent(u->host);
	char out[512];
	int status = 0;
	int n = snprintf(out, sizeof(out),
			 "GET /look/%x HTTP/1.1\r\nHost: x.example\r\n"
			 "Request-Id: %x\r\nDeadline-Ms: %d\r\n\r\n",
			 id, id, (int)((until - now_s()) * 1000));
	bool kept = send_all(u->c.fd, out, (size_t)n) &&
		    read_msg(&u->c, &u->m, true, &status);
	const char *field;

	*wait = 0;
	n_answers[status / 100]++;
	record("answered id=%x status=%d", id, status);
	if (kept) {
		field = msg_field(&u->m, "Retry-After");
		*wait = field ? atof(field) : 0;
		field = msg_field(&u->m, "Connection");
		kept = !field || strcmp(field, "close") != 0;
	}
	msg_free(&u->m);
	if (!kept)
		close_channel(u);
	return status / 100 == 2;
}

/* A lookup: after any failure it is tried again, on a new channel to another host. */
static void look_up(consumer_t *u)
{
	double until = now_s() + DEADLINE_S, wait;

	for (int i = 0; i < TRIES && now_s() < until - WORK_S; i++) {
		double most;

		if (u->c.fd < 0)
			open_channel(u);
		wait = 0;
		if (u->c.fd >= 0 && ask(u, until, &wait))
			return;
		most = (until - now_s()) / 3;
		sleep_s(wait < most ? wait : most);
		next_host(u);
	}
}

static void *caller(void *arg)
{
	int number = (int)(intptr_t)arg;
	consumer_t *u = calloc(1, sizeof(*u));
	double due = began + PERIOD_S * number / CALLERS;

	u->host = number % HOSTS + 1;
	u->c.fd = -1;
	for (; !over; due += PERIOD_S) {
		sleep_s(due - now_s());
		look_up(u);
	}
	close_channel(u);
	free(u);
	return NULL;
}

/* The rule. */

static int count_sent(double from, double to)
{
	int n = 0;

	for (int i = 0; i < n_sent; i++)
		n += sent[i] > from && sent[i] <= to;
	return n;
}

/* Whether no machine is in touch: a host of the core was killed shortly before. */
static bool is_unstable(double t)
{
	return killed && t >= killed && t < killed + CONTACT_S;
}

static int max_of(int a, int b)
{
	return a > b ? a : b;
}

/* Repeats in the window that ends with each arrival; returns the worst excess. */
static double judge(bool in_touch_only)
{
	double worst = -1e9;
	double worst_allowed = 0;
	int worst_n = 0;

	for (int i = 0; i < n_arrivals; i++) {
		double to = arrivals[i].at;
		double from = to - WINDOW_S;
		double allowed;
		int requests = count_sent(from, to);
		int n = 0;

		for (int k = 0; k <= i; k++)
			n += arrivals[k].extra && arrivals[k].at > from &&
			     !(in_touch_only && is_unstable(arrivals[k].at));
		requests = max_of(requests, count_sent(from - WINDOW_S, from));
		requests = max_of(requests, count_sent(from - WINDOW_S / 2,
						       to - WINDOW_S / 2));
		allowed = RATIO * requests + SLACK;
		if (n - allowed > worst)
			worst = n - allowed;
		if (n < worst_n)
			continue;
		worst_n = n;
		worst_allowed = allowed;
	}
	record("judged %s: repeats=%d allowed=%.1f",
	       in_touch_only ? "machines in touch" : "all machines", worst_n,
	       worst_allowed);
	printf("%s: %d repeats in ten seconds, %.1f allowed\n",
	       in_touch_only ? "machines in touch" : "all machines", worst_n,
	       worst_allowed);
	return worst;
}

static const char manifest[] =
	"{\"version\":3,\"routes\":[{\"name\":\"look\",\"host\":\"x.example\","
	"\"path_prefix\":\"/look/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":1500,\"slo_ms\":150,\"priority\":2,\"service\":\"app\","
	"\"attempts\":2,\"sticky\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\","
	"\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static void kill_dispatcher(void)
{
	int host = lab.reader;

	if (!host) {
		record("no host has read the list");
		return;
	}
	killed = now_s();
	dead_host = host;
	lab_kill(&lab, host, false);
}

int main(int argc, char **argv)
{
	pthread_t threads[CALLERS];
	bool trouble;
	double excess;

	if (argc != 5)
		return 2;
	record_open(argv[3]);
	trouble = strcmp(argv[4], "0") != 0;
	lab.n = HOSTS;
	lab_init(&lab, argv[1], argv[2]);
	start_runners();
	lab_serve_list(&lab, write_rows);
	for (int i = 1; i <= HOSTS; i++)
		lab_start(&lab, i);
	if (!lab_wait_ready(&lab, manifest)) {
		record("the hosts are not ready in time");
		lab_stop_all(&lab);
		return 2;
	}
	began = now_s();
	for (int i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, caller, (void *)(intptr_t)i);
	sleep_s(began + KILL_AT - now_s());
	if (trouble)
		kill_dispatcher();
	sleep_s(began + END - now_s());
	over = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	lab_stop_all(&lab);
	printf("%d requests; answers 2xx %u, 5xx %u, none %u\n", n_sent,
	       n_answers[2], n_answers[5], n_answers[0]);
	judge(false);
	excess = judge(true);
	if (trouble && !killed)
		return 2;
	return excess > 0 ? 1 : 0;
}
