/*
 * runners.c - a stand-in of the users' platform: the list of runners, and four runners of
 * the plain service "app" that send streams, which may be resumed by Last-Event-Id; what
 * is asked for under /look/ is answered at once.
 *
 *   runners LIST_PORT FIRST_RUNNER_PORT [OTHERS [SLOTS]]
 *
 * The last OTHERS runners are of the service "app2", with version v2 of its software. A
 * runner has SLOTS slots, else 16.
 *
 * On standard input, a line "crash N MS VERSION": runner N ends, its connections are reset,
 * and it starts again after MS milliseconds under its id and address, with that version of
 * its software and a new time of birth. The list shows a new start LIST_LAG_US later.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "http1.h"

#define RUNNERS 4
#define LIST_LAG_US (700 * USEC_PER_MSEC)
#define EVENT_GAP_US (30 * USEC_PER_MSEC)
#define EVENTS 200

typedef struct boot {
	char version[16];
	long long born_ms;
} boot_t;

typedef struct runner {
	int index;
	char id[16], addr[32];
	const char *service;
	boot_t now, listed;
	int64_t started_us;
	http1_listener_t *listener;
	struct cds_list_head conns;
	timer_sub_t restart;
} runner_t;

typedef struct conn {
	struct cds_list_head node;
	http1_conn_t *c;
	runner_t *r; /* NULL: to the list */
	char target[256], id[64], expected[32];
	int event;
	timer_sub_t timer;
} conn_t;

static timer_svc_t *timers;
static loop_t *loop;
static runner_t runners[RUNNERS];
static struct cds_list_head list_conns;
static int slots = 16;

static long long wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static void say(const char *what, const runner_t *r, const conn_t *c)
{
	printf("%lld %s runner=%s version=%s request=%s after=%d\n", wall_ms(), what, r->id,
	       r->now.version, c ? c->id : "", c ? c->event : 0);
	fflush(stdout);
}

static void respond(conn_t *c, int status, const char *fields, const char *body)
{
	AUTO_BUF buf_t out = {0};

	buf_printf(&out, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
		   status, c->id, fields, strlen(body), body);
	http1_send(c->c, out.p, out.n);
	http1_await_request(c->c);
}

static void respond_list(conn_t *c)
{
	int64_t now = timer_svc_now(timers);
	AUTO_BUF buf_t out = {0};

	buf_puts(&out, "{\"instances\":[");
	for (int i = 0; i < RUNNERS; i++) {
		runner_t *r = &runners[i];

		if (r->listener && now - r->started_us >= LIST_LAG_US)
			r->listed = r->now;
		buf_printf(&out,
			   "%s{\"id\":\"%s\",\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"z1\","
			   "\"version\":\"%s\",\"born\":%lld,\"slots\":%d,\"state\":\"ready\","
			   "\"cold_left_ms\":0,\"seq\":0,\"models\":[]}",
			   i ? "," : "", r->id, r->service, r->addr, r->listed.version, r->listed.born_ms, slots);
	}
	buf_puts(&out, "],\"next\":null}");
	respond(c, 200, "Content-Type: application/json\r\n", out.p);
}

static void respond_report(conn_t *c)
{
	AUTO_BUF buf_t out = {0};

	buf_printf(&out,
		   "{\"state\":\"ready\",\"version\":\"%s\",\"born\":%lld,\"seq\":0,"
		   "\"busy\":false,\"models\":[]}",
		   c->r->now.version, c->r->now.born_ms);
	respond(c, 200, "Content-Type: application/json\r\n", out.p);
}

static void send_event(void *ctx, int64_t now)
{
	conn_t *c = ctx;
	AUTO_BUF buf_t event = {0};
	AUTO_BUF buf_t out = {0};

	buf_printf(&event, "id: %d\ndata: %s\n\n", ++c->event, c->r->now.version);
	buf_printf(&out, "%zx\r\n%s\r\n", event.n, event.p);
	if (c->event >= EVENTS)
		buf_puts(&out, "0\r\n\r\n");
	http1_send(c->c, out.p, out.n);
	if (c->event >= EVENTS)
		http1_await_request(c->c);
	else
		timer_svc_arm(timers, &c->timer, now + EVENT_GAP_US);
}

static void respond_look(conn_t *c)
{
	AUTO_BUF buf_t fields = {0};

	buf_printf(&fields, "Response-Signature: %s.%lld\r\nInstance-Id: %s\r\n", c->r->id,
		   c->r->now.born_ms, c->r->id);
	respond(c, 200, fields.p, c->r->now.version);
}

static void begin_stream(conn_t *c)
{
	AUTO_BUF buf_t out = {0};

	say("runs", c->r, c);
	buf_printf(&out,
		   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%lld\r\n"
		   "Instance-Id: %s\r\nContent-Type: text/event-stream\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n",
		   c->id, c->r->id, c->r->now.born_ms, c->r->id);
	http1_send(c->c, out.p, out.n);
	timer_svc_arm(timers, &c->timer, timer_svc_now(timers) + EVENT_GAP_US);
}

static void copy_text(char *to, size_t size, str_t s)
{
	snprintf(to, size, "%.*s", STR_ARG(s));
}

static void on_head(void *ctx, const http1_head_t *h)
{
	conn_t *c = ctx;
	str_t last = http1_field(h, STR("Last-Event-Id"));
	char text[32];

	copy_text(c->target, sizeof(c->target), h->target);
	copy_text(c->id, sizeof(c->id), http1_field(h, STR("Request-Id")));
	copy_text(c->expected, sizeof(c->expected), http1_field(h, STR("Expect-Instance")));
	copy_text(text, sizeof(text), last);
	c->event = atoi(text);
}

static void on_end(void *ctx)
{
	conn_t *c = ctx;

	if (!c->r)
		respond_list(c);
	else if (c->expected[0] && strcmp(c->expected, c->r->id) != 0)
		respond(c, 421, "Not-Executed: 1\r\n", "");
	else if (strcmp(c->target, "/damasklug/report") == 0)
		respond_report(c);
	else if (strncmp(c->target, "/look/", 6) == 0)
		respond_look(c);
	else
		begin_stream(c);
}

static void conn_free(conn_t *c)
{
	timer_svc_cancel(timers, &c->timer);
	cds_list_del(&c->node);
	free(c);
}

static void on_closed(void *ctx, http1_close_reason_t why)
{
	(void)why;
	conn_free(ctx);
}

static void *on_accepted(void *ctx, http1_conn_t *conn)
{
	conn_t *c = calloc(1, sizeof(*c));

	c->c = conn;
	c->r = ctx;
	timer_sub_init(&c->timer, send_event, c);
	cds_list_add(&c->node, c->r ? &c->r->conns : &list_conns);
	return c;
}

static http1_listener_t *listen_at(const char *addr, runner_t *r)
{
	static const http1_ops_t ops = {.head = on_head,
					.message_end = on_end,
					.closed = on_closed};
	static const http1_limits_t limits = {65536, 10 * USEC_PER_SEC, 60 * USEC_PER_SEC};
	struct sockaddr_in to;

	if (http1_parse_addr(str_c(addr), &to) < 0)
		return NULL;
	return http1_listen(loop, &to, &limits, &ops, on_accepted, r);
}

static void start(runner_t *r)
{
	r->now.born_ms = wall_ms();
	r->started_us = timer_svc_now(timers);
	r->listener = listen_at(r->addr, r);
	if (!r->listener) {
		fprintf(stderr, "runners: cannot listen on %s\n", r->addr);
		exit(1);
	}
	say("starts", r, NULL);
}

static void on_restart(void *ctx, int64_t now)
{
	(void)now;
	start(ctx);
}

static void crash(runner_t *r, int64_t down_us, const char *version)
{
	conn_t *c, *tmp;

	say("crashes", r, NULL);
	cds_list_for_each_entry_safe (c, tmp, &r->conns, node) {
		http1_reset(c->c);
		conn_free(c);
	}
	http1_unlisten(r->listener);
	r->listener = NULL;
	snprintf(r->now.version, sizeof(r->now.version), "%s", version);
	timer_svc_arm(timers, &r->restart, timer_svc_now(timers) + down_us);
}

static void on_command(void *ctx, uint32_t events)
{
	char line[128];
	char version[16];
	int n, ms;
	ssize_t size = read(STDIN_FILENO, line, sizeof(line) - 1);

	(void)ctx;
	(void)events;
	if (size <= 0)
		exit(0);
	line[size] = '\0';
	if (sscanf(line, "crash %d %d %15s", &n, &ms, version) == 3 && n >= 1 && n <= RUNNERS &&
	    runners[n - 1].listener)
		crash(&runners[n - 1], ms * USEC_PER_MSEC, version);
}

int main(int argc, char **argv)
{
	static loop_watch_t commands = {.fn = on_command};
	char addr[32];

	int others = argc >= 4 ? atoi(argv[3]) : 0;

	if (argc == 5)
		slots = atoi(argv[4]);
	if (argc < 3 || argc > 5)
		return 2;
	timers = timer_svc_new_polled();
	loop = loop_new(timers, NULL);
	CDS_INIT_LIST_HEAD(&list_conns);
	snprintf(addr, sizeof(addr), "127.0.0.1:%s", argv[1]);
	if (!listen_at(addr, NULL))
		return 1;
	for (int i = 0; i < RUNNERS; i++) {
		runner_t *r = &runners[i];

		r->index = i;
		snprintf(r->id, sizeof(r->id), "i-%d", i + 1);
		snprintf(r->addr, sizeof(r->addr), "127.0.0.1:%d", atoi(argv[2]) + i);
		r->service = i < RUNNERS - others ? "app" : "app2";
		snprintf(r->now.version, sizeof(r->now.version), "%s",
			 i < RUNNERS - others ? "v1" : "v2");
		CDS_INIT_LIST_HEAD(&r->conns);
		timer_sub_init(&r->restart, on_restart, r);
		start(r);
		r->listed = r->now;
		r->started_us -= LIST_LAG_US;
	}
	if (loop_watch(loop, &commands, STDIN_FILENO, EPOLLIN) < 0)
		return 1;
	loop_run(loop);
	return 0;
}
