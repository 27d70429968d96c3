/*
 * restarts.c - consumers, the platform's list and three runners of a plain service, around
 * six daemons, three of them with a disk. The final fault comes first: right after a
 * manifest was acknowledged, one machine of the core loses its disk. Once it is back, the
 * runners are restarted one after the other: each is listed as draining, says that it
 * leaves, serves on for drain_ms and a little longer, ends, and starts again under its id
 * (NEWID=1: under a new one).
 *
 *   restarts DAEMON DIR RECORD TROUBLE
 */
#include "lab.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HOSTS 6
#define RUNNERS 3
#define CONNS_MAX 512
#define CALLERS 120
#define LOOK_S 0.6
#define PERIOD_CALLER_S 0.65 /* between two requests of a caller */
#define DEADLINE_S 2.5	     /* time limit of a lookup */
#define TRIES 2		     /* one retry, as SYSTEM.md has for lookups */
#define REQUESTS_A_CHANNEL 4
#define TTL_S 2.0 /* consumers ask for the addresses again so often */
/* Seconds from the start of the traffic; for the first runner, the next PERIOD_S later. */
#define LEAVE_AT 7.0
#define SAYS_SO_S 0.05 /* after the list has it as draining */
#define DRAIN_S 3.2    /* drain_ms is 3,000 */
#define DOWN_S 0.5
#define PERIOD_S 4.2
#define LIST_LAG_S 0.4 /* of a start; max_lag_ms is 800 */
#define FAULT_AT 3.0
#define FAULT_DOWN_S 0.9
#define RECOVER_S 12.0 /* the bound of the settings */
#define END 36.0

typedef struct runner {
	char ip[64];
	int port;
	char id[24];
	int number;
	long long born;
	_Atomic bool leaving;
	_Atomic int starts; /* its process was started so often */
	/* What the list shows. */
	char listed_id[24];
	long long listed_born;
	bool listed_draining;
	int fd;
	pthread_mutex_t lock; /* of open */
	int open[CONNS_MAX];
} runner_t;

static lab_t lab;
static runner_t runners[RUNNERS];
static double began;
static atomic_uint next_id = 1;
static atomic_bool over;
static bool new_ids;
static atomic_int n_leaving[HOSTS + 1][RUNNERS];
/* Lookups, with their retries, before the final fault and from RECOVER_S after it on. */
static atomic_int n_before, n_served_before, n_after, n_served_after;
static _Atomic double fault_at, back_at; /* 0: not yet */

static long long wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Runners. */

static void write_rows(char *out, size_t size)
{
	size_t n = 0;

	for (int i = 0; i < RUNNERS; i++) {
		const runner_t *r = &runners[i];

		n += (size_t)snprintf(
			out + n, size - n,
			"%s{\"id\":\"%s\",\"service\":\"app\","
			"\"addr\":\"%s:%d\",\"zone\":\"z1\","
			"\"version\":\"v1\",\"slots\":128,\"state\":\"%s\","
			"\"cold_left_ms\":0,\"models\":[],\"born\":%lld}",
			i ? "," : "", r->listed_id, r->ip, r->port,
			r->listed_draining ? "draining" : "ready",
			r->listed_born);
	}
}

static void show_in_list(runner_t *r)
{
	snprintf(r->listed_id, sizeof(r->listed_id), "%s", r->id);
	r->listed_born = r->born;
	r->listed_draining = r->leaving;
}

typedef struct served {
	runner_t *r;
	conn_t c;
	char id[24]; /* of the runner as the connection was made */
	int start;   /* the same: runner_t.starts */
} served_t;

static void keep(runner_t *r, int fd, bool add)
{
	pthread_mutex_lock(&r->lock);
	for (int i = 0; i < CONNS_MAX; i++)
		if (r->open[i] == (add ? 0 : fd)) {
			r->open[i] = add ? fd : 0;
			break;
		}
	pthread_mutex_unlock(&r->lock);
}

static int write_head(const served_t *s, char *out, size_t size, const char *id,
		      const char *fields)
{
	return snprintf(out, size,
			"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			"Response-Signature: %s.%s\r\n%s%s\r\n",
			id, s->id, id,
			s->r->leaving ? "Server-Leaving: 1\r\n" : "", fields);
}

/* The process that took the connection has ended. */
static bool is_over(const served_t *s)
{
	return s->r->starts != s->start;
}

static bool answer_short(served_t *s, const char *id)
{
	char out[1024];
	int n;

	sleep_s(LOOK_S);
	if (is_over(s))
		return false;
	n = write_head(s, out, sizeof(out) - 4, id, "Content-Length: 4\r\n");
	memcpy(out + n, "body", 4);
	return send_all(s->c.fd, out, (size_t)n + 4);
}

static bool serve_one(served_t *s, const msg_t *m)
{
	const char *id = msg_field(m, "Request-Id");
	const char *expected = msg_field(m, "Expect-Instance");
	char out[512];
	int n;

	if (!strncmp(m->line, "GET /damasklug/report ", 22)) {
		char body[256];

		n = snprintf(body, sizeof(body),
			     "{\"stage\":\"colocated\",\"models\":[],"
			     "\"busy\":false,\"seq\":0,\"waiting\":0,"
			     "\"running\":0,\"kv_used\":0,\"kv_total\":0,"
			     "\"handles\":0,\"state\":\"%s\",\"born\":%lld}",
			     s->r->leaving ? "draining" : "ready", s->r->born);
		n = snprintf(
			out, sizeof(out),
			"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			s->r->leaving ? "Server-Leaving: 1\r\n" : "", n, body);
		return send_all(s->c.fd, out, (size_t)n);
	}
	if (!id || (expected && strcmp(expected, s->id))) {
		n = snprintf(out, sizeof(out),
			     "HTTP/1.1 421 Misdirected Request\r\n"
			     "Request-Id: %s\r\nInstance-Id: %s\r\n"
			     "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			     id ? id : "", s->id);
		return send_all(s->c.fd, out, (size_t)n);
	}
	return answer_short(s, id);
}

static void *serve_conn(void *arg)
{
	served_t *s = arg;
	msg_t *m = calloc(1, sizeof(*m));
	int status;

	snprintf(s->id, sizeof(s->id), "%s", s->r->id);
	s->start = s->r->starts;
	while (read_msg(&s->c, m, false, &status) && serve_one(s, m))
		msg_free(m);
	msg_free(m);
	keep(s->r, s->c.fd, false);
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

		if (fd < 0) {
			free(s);
			return NULL;
		}
		s->r = r;
		s->c.fd = fd;
		keep(r, fd, true);
		pthread_create(&t, NULL, serve_conn, s);
		pthread_detach(t);
	}
}

static void start_runner(runner_t *r)
{
	pthread_t t;

	r->born = wall_ms();
	r->leaving = false;
	r->fd = listen_on(r->ip, &r->port);
	if (r->fd < 0)
		exit(2);
	pthread_create(&t, NULL, accept_runner, r);
	pthread_detach(t);
}

/* Its process ends: all its connections are reset. */
static void end_runner(runner_t *r)
{
	const struct linger abort_on_close = {1, 0};

	r->starts++;
	shutdown(r->fd, SHUT_RDWR);
	close(r->fd);
	pthread_mutex_lock(&r->lock);
	for (int i = 0; i < CONNS_MAX; i++)
		if (r->open[i]) {
			setsockopt(r->open[i], SOL_SOCKET, SO_LINGER,
				   &abort_on_close, sizeof(abort_on_close));
			/* Wakes its thread, which closes it. */
			shutdown(r->open[i], SHUT_RD);
		}
	pthread_mutex_unlock(&r->lock);
}

static void sleep_until(double t)
{
	sleep_s(began + t - now_s());
}

static void *restart_runner(void *arg)
{
	runner_t *r = arg;
	double at = LEAVE_AT + PERIOD_S * r->number;

	sleep_until(at);
	record("the list shows runner %s as draining", r->id);
	r->listed_draining = true;
	sleep_until(at + SAYS_SO_S);
	record("runner %s says that it leaves", r->id);
	r->leaving = true;
	sleep_until(at + DRAIN_S);
	record("runner %s ends", r->id);
	end_runner(r);
	sleep_until(at + DRAIN_S + DOWN_S);
	if (new_ids)
		snprintf(r->id, sizeof(r->id), "i-%d-b", r->number + 1);
	start_runner(r);
	record("runner %s is back", r->id);
	sleep_until(at + DRAIN_S + DOWN_S + LIST_LAG_S);
	show_in_list(r);
	return NULL;
}

/* Callers. */

static int runner_of(const msg_t *m)
{
	const char *signature = msg_field(m, "Response-Signature");
	int number = 0;

	if (!signature || sscanf(signature, "i-%d", &number) != 1)
		return 0;
	return number;
}

static void note_leaving(const msg_t *m, int host)
{
	int number = runner_of(m);

	if (msg_field(m, "Server-Leaving") && number)
		n_leaving[host][number - 1]++;
}

static int open_host(int host)
{
	char ip[32];

	host_ip(&lab, host, ip, sizeof(ip));
	return connect_to(ip, lab.front, 1.0);
}

static void count(double sent, bool served)
{
	if (!fault_at) {
		n_before++;
		n_served_before += served;
	} else if (back_at && sent > back_at + RECOVER_S) {
		n_after++;
		n_served_after += served;
	}
}

/* A consumer: the addresses that failed it, and its open channel. */
typedef struct consumer {
	bool failed[HOSTS + 1];
	double listed_at; /* when it last asked for the addresses */
	unsigned int seed;
	int host;   /* of the channel */
	int n_sent; /* on the channel */
	conn_t c;
	msg_t m;
} consumer_t;

static void close_channel(consumer_t *u)
{
	if (u->c.fd >= 0)
		close(u->c.fd);
	u->c.fd = -1;
}

/* At random, but for those that have failed it since it last asked. */
static int pick_host(consumer_t *u)
{
	int fit[HOSTS], n = 0;

	if (now_s() - u->listed_at > TTL_S) {
		memset(u->failed, 0, sizeof(u->failed));
		u->listed_at = now_s();
	}
	for (int h = 1; h <= HOSTS; h++)
		if (!u->failed[h])
			fit[n++] = h;
	return n ? fit[rand_r(&u->seed) % n] : 1 + rand_r(&u->seed) % HOSTS;
}

static void open_channel(consumer_t *u)
{
	u->host = pick_host(u);
	u->c.n = 0;
	u->n_sent = 0;
	u->c.fd = open_host(u->host);
}

/* One try; wait: the answer's Retry-After, or 0. */
static bool try_once(consumer_t *u, double until, double *wait)
{
	unsigned int id = next_id++;
	const char *field;
	char out[512];
	int status = 0;
	bool kept;
	int n = snprintf(out, sizeof(out),
			 "GET /look/%x HTTP/1.1\r\nHost: x.example\r\n"
			 "Request-Id: %x\r\nDeadline-Ms: %d\r\n\r\n",
			 id, id, (int)((until - now_s()) * 1000));

	*wait = 0;
	if (u->c.fd < 0)
		open_channel(u);
	u->n_sent++;
	kept = u->c.fd >= 0 && send_all(u->c.fd, out, (size_t)n) &&
	       read_msg(&u->c, &u->m, true, &status);
	if (kept) {
		note_leaving(&u->m, u->host);
		field = msg_field(&u->m, "Retry-After");
		*wait = field ? atof(field) : 0;
		field = msg_field(&u->m, "Connection");
		kept = !field || strcmp(field, "close") != 0;
	}
	record("asked id=%x host=%d status=%d runner=%d", id, u->host, status,
	       kept ? runner_of(&u->m) : 0);
	msg_free(&u->m);
	if (status != 200)
		u->failed[u->host] = true;
	if (!kept || status != 200 || u->n_sent >= REQUESTS_A_CHANNEL)
		close_channel(u);
	return status == 200;
}

/* A lookup: after any failure it is tried again, on a new channel. */
static bool look_up(consumer_t *u)
{
	double until = now_s() + DEADLINE_S, wait;

	for (int i = 0; i < TRIES && until - now_s() > LOOK_S; i++) {
		double most;

		if (try_once(u, until, &wait))
			return true;
		most = (until - now_s()) / 3;
		sleep_s(wait < most ? wait : most);
	}
	return false;
}

static void *caller(void *arg)
{
	consumer_t *u = calloc(1, sizeof(*u));

	u->c.fd = -1;
	u->seed = (unsigned int)(intptr_t)arg + 1;
	while (!over) {
		double sent = now_s();

		count(sent, look_up(u));
		sleep_s(sent + PERIOD_CALLER_S - now_s());
	}
	close_channel(u);
	free(u);
	return NULL;
}

static const char manifest[] =
	"{\"version\":%d,\"routes\":[{\"name\":\"look\",\"host\":\"x.example\","
	"\"path_prefix\":\"/look/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":2500,\"slo_ms\":800,\"priority\":2,\"service\":\"app\","
	"\"attempts\":2,\"sticky\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\","
	"\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static void init_runners(void)
{
	for (int i = 0; i < RUNNERS; i++) {
		runner_t *r = &runners[i];

		snprintf(r->ip, sizeof(r->ip), "%s.%d", lab.net, 20 + i);
		snprintf(r->id, sizeof(r->id), "i-%d", i + 1);
		r->number = i;
		pthread_mutex_init(&r->lock, NULL);
		start_runner(r);
		show_in_list(r);
	}
}

/* The final fault: the last host with a disk loses it as a manifest was acknowledged. */
static void lose_disk(void)
{
	char text[1024], ip[32];
	int status;

	snprintf(text, sizeof(text), manifest, 4);
	host_ip(&lab, 1, ip, sizeof(ip));
	status = call(ip, lab.control, "POST", "/damasklug/config/put", text);
	record("manifest 4: %d", status);
	lab_kill(&lab, DISKS, true);
	fault_at = now_s();
	sleep_s(FAULT_DOWN_S);
	lab_start(&lab, DISKS);
	back_at = now_s();
}

static void report(void)
{
	char text[256];

	for (int h = 1; h <= HOSTS; h++) {
		snprintf(text, sizeof(text),
			 "host %d passed on Server-Leaving of i-1 %d, i-2 %d, "
			 "i-3 %d times",
			 h, n_leaving[h][0], n_leaving[h][1], n_leaving[h][2]);
		record("%s", text);
		puts(text);
	}
	snprintf(text, sizeof(text),
		 "served %d of %d before the final fault, %d of %d later than "
		 "recover_s after it",
		 n_served_before, n_before, n_served_after, n_after);
	record("%s", text);
	puts(text);
}

int main(int argc, char **argv)
{
	pthread_t callers[CALLERS], restarts[RUNNERS];
	char text[1024];
	bool trouble;

	if (argc != 5)
		return 2;
	record_open(argv[3]);
	trouble = strcmp(argv[4], "0") != 0;
	new_ids = getenv("NEWID") != NULL;
	lab.n = HOSTS;
	lab_init(&lab, argv[1], argv[2]);
	init_runners();
	lab_serve_list(&lab, write_rows);
	for (int i = 1; i <= HOSTS; i++)
		lab_start(&lab, i);
	snprintf(text, sizeof(text), manifest, 3);
	if (!lab_wait_ready(&lab, text)) {
		record("the hosts are not ready in time");
		lab_stop_all(&lab);
		return 2;
	}
	began = now_s();
	for (int i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, caller, (void *)(intptr_t)i);
	for (int i = 0; trouble && i < RUNNERS; i++)
		pthread_create(&restarts[i], NULL, restart_runner, &runners[i]);
	sleep_until(FAULT_AT);
	lose_disk();
	sleep_until(END);
	over = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	lab_stop_all(&lab);
	report();
	if (!n_after || n_served_before * 4 < n_before)
		return 2;
	return n_served_after * 4 < n_after ? 1 : 0;
}
