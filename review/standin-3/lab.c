/* lab.c - sockets, HTTP messages and daemons for the stand-ins. */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

void sleep_s(double s)
{
	struct timespec t = {.tv_sec = (time_t)s};

	if (s <= 0)
		return;
	t.tv_nsec = (long)((s - (double)t.tv_sec) * 1e9);
	nanosleep(&t, NULL);
}

void record_open(const char *path)
{
	record_file = fopen(path, "w");
	if (!record_file) {
		perror(path);
		exit(2);
	}
}

void record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%.4f ", now_s());
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void host_ip(const lab_t *l, int host, char *out, size_t size)
{
	snprintf(out, size, "%s.%d", l->net, 10 + host);
}

static struct sockaddr_in addr_of(const char *ip, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

int listen_on(const char *ip, int *port)
{
	struct sockaddr_in a = addr_of(ip, *port);
	socklen_t n = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(fd, 512) < 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&a, &n);
	*port = ntohs(a.sin_port);
	return fd;
}

static void set_timeout(int fd, double s)
{
	struct timeval t = {.tv_sec = (time_t)s};

	t.tv_usec = (suseconds_t)((s - (double)t.tv_sec) * 1e6);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
}

int connect_to(const char *ip, int port, double timeout)
{
	struct sockaddr_in a = addr_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	set_timeout(fd, timeout);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int peer_host(const lab_t *l, int fd)
{
	struct sockaddr_in a;
	socklen_t n = sizeof(a);
	char ip[32], host[32];

	if (getpeername(fd, (struct sockaddr *)&a, &n) < 0)
		return 0;
	inet_ntop(AF_INET, &a.sin_addr, ip, sizeof(ip));
	for (int i = 1; i <= l->n; i++) {
		host_ip(l, i, host, sizeof(host));
		if (!strcmp(ip, host))
			return i;
	}
	return 0;
}

bool send_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t done = send(fd, p, n, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		p += done;
		n -= (size_t)done;
	}
	return true;
}

static bool fill(conn_t *c)
{
	ssize_t n;

	if (c->n == sizeof(c->in))
		return false;
	n = recv(c->fd, c->in + c->n, sizeof(c->in) - c->n, 0);
	if (n <= 0)
		return false;
	c->n += (size_t)n;
	return true;
}

static void take(conn_t *c, size_t n)
{
	c->n -= n;
	memmove(c->in, c->in + n, c->n);
}

/* Splits the head, whose end is at text + n. */
static void split_head(msg_t *m)
{
	char *at = strstr(m->text, "\r\n");

	m->line = m->text;
	*at = '\0';
	at += 2;
	while (*at && m->n_fields < FIELDS_MAX) {
		char *end = strstr(at, "\r\n");
		char *colon;

		if (!end || end == at)
			break;
		*end = '\0';
		colon = strchr(at, ':');
		if (colon) {
			*colon++ = '\0';
			colon += strspn(colon, " ");
			m->name[m->n_fields] = at;
			m->value[m->n_fields++] = colon;
		}
		at = end + 2;
	}
}

const char *msg_field(const msg_t *m, const char *name)
{
	for (int i = 0; i < m->n_fields; i++)
		if (!strcasecmp(m->name[i], name))
			return m->value[i];
	return NULL;
}

static bool add_body(conn_t *c, msg_t *m, size_t n)
{
	m->body = realloc(m->body, m->body_n + n + 1);
	while (n) {
		size_t part = c->n < n ? c->n : n;

		if (!part) {
			if (!fill(c))
				return false;
			continue;
		}
		memcpy(m->body + m->body_n, c->in, part);
		m->body_n += part;
		n -= part;
		take(c, part);
	}
	m->body[m->body_n] = '\0';
	return true;
}

static bool read_line(conn_t *c, char *out, size_t size)
{
	for (;;) {
		char *end = memmem(c->in, c->n, "\r\n", 2);

		if (end) {
			size_t n = (size_t)(end - c->in);

			snprintf(out, size, "%.*s", (int)n, c->in);
			take(c, n + 2);
			return true;
		}
		if (!fill(c))
			return false;
	}
}

static bool read_chunks(conn_t *c, msg_t *m)
{
	char line[64];

	for (;;) {
		size_t n;

		if (!read_line(c, line, sizeof(line)))
			return false;
		n = strtoul(line, NULL, 16);
		if (n && !add_body(c, m, n))
			return false;
		if (!read_line(c, line, sizeof(line)))
			return false;
		if (!n)
			return true;
	}
}

bool read_msg(conn_t *c, msg_t *m, bool is_answer, int *status)
{
	const char *length, *coding;
	char *end;
	size_t n;

	memset(m, 0, offsetof(msg_t, line));
	m->n_fields = 0;
	m->body = NULL;
	m->body_n = 0;
	while (!(end = memmem(c->in, c->n, "\r\n\r\n", 4)))
		if (!fill(c))
			return false;
	n = (size_t)(end - c->in) + 4;
	if (n >= sizeof(m->text))
		return false;
	memcpy(m->text, c->in, n);
	m->text[n] = '\0';
	take(c, n);
	split_head(m);
	if (is_answer)
		*status = atoi(m->line + strlen("HTTP/1.1 "));
	length = msg_field(m, "Content-Length");
	coding = msg_field(m, "Transfer-Encoding");
	if (coding)
		return read_chunks(c, m);
	return add_body(c, m, length ? strtoul(length, NULL, 10) : 0);
}

void msg_free(msg_t *m)
{
	free(m->body);
	m->body = NULL;
}

int call(const char *ip, int port, const char *method, const char *path,
	 const char *body)
{
	conn_t *c = calloc(1, sizeof(*c));
	msg_t *m = calloc(1, sizeof(*m));
	size_t n = strlen(body);
	char *out = malloc(n + 512);
	int status = 0;

	c->fd = connect_to(ip, port, 1.0);
	if (c->fd >= 0) {
		int len = snprintf(out, n + 512,
				   "%s %s HTTP/1.1\r\nHost: %s\r\n"
				   "Content-Type: application/json\r\n"
				   "Content-Length: %zu\r\n"
				   "Connection: close\r\n\r\n%s",
				   method, path, ip, n, body);

		if (!send_all(c->fd, out, (size_t)len) ||
		    !read_msg(c, m, true, &status))
			status = 0;
		close(c->fd);
	}
	msg_free(m);
	free(out);
	free(m);
	free(c);
	return status;
}

static int free_port(const lab_t *l)
{
	int port = 0;
	char ip[32];
	int fd;

	/* A port that is free at one of the addresses is free at all: they are new. */
	host_ip(l, 1, ip, sizeof(ip));
	fd = listen_on(ip, &port);
	if (fd >= 0)
		close(fd);
	return port;
}

static void write_settings(const lab_t *l, int host, bool bootstrap)
{
	char path[512], ip[32], seed[3][32], data[512] = "";
	FILE *f;

	if (host <= DISKS)
		snprintf(data, sizeof(data), "%s/data-%d", l->dir, host);
	snprintf(path, sizeof(path), "%s/host-%d.json", l->dir, host);
	f = fopen(path, "w");
	if (!f)
		exit(2);
	host_ip(l, host, ip, sizeof(ip));
	for (int i = 0; i < 3; i++)
		host_ip(l, i + 1, seed[i], sizeof(seed[i]));
	fprintf(f,
		"{\"node\":\"host-%d\",\"role\":\"site\",\"class\":\"front\","
		"\"serves\":[\"front\",\"control\",\"directory\"],\"ip\":\"%"
		"s\","
		"\"zone\":\"z1\",\"region\":\"r\","
		"\"zones\":{\"z1\":\"r\"},"
		"\"listen\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\","
		"\"control\":\"%s:%d\",\"directory\":\"%s:%d\"},"
		"\"port_range\":[%d,%d],"
		"\"seeds\":[\"%s:%d\",\"%s:%d\",\"%s:%d\"],"
		"\"bootstrap\":%s,\"loss_counts\":true,"
		"\"limits\":{\"cpu_share\":0.45,\"cores\":1,\"memory_mb\":260,"
		"\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":64},"
		"\"data_dir\":\"%s\",\"discovery\":\"cloud_api\","
		"\"entry\":\"directory\",\"heartbeat_ms\":1200,"
		"\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
		"\"retry\","
		"\"recover\",\"fleet\",\"stream\",\"engine\"],"
		"\"tolerate\":{\"machines\":1,\"zones\":0,\"regions\":0},"
		"\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,"
		"\"contact_ms\":3000,\"ack_ms\":4000,\"catchup_s\":4,"
		"\"drain_ms\":3000,\"grace_s\":8,\"loss_slack_ms\":200,"
		"\"config_ms\":2000,\"rollback_slack_ms\":250,"
		"\"skew_ms\":5000,\"budget_ratio\":0.2,"
		"\"budget_window_s\":10,\"budget_slack\":64,\"recover_s\":12,"
		"\"pass_ms\":120,\"again_s\":0,\"fencing\":true,"
		"\"lease_ms\":3000,\"thaw_ms\":300,\"ceiling_window_s\":5,"
		"\"ceiling_factor\":1.1,\"version_ms\":5000,\"ttl_max_s\":5},"
		"\"config_mode\":\"highest\","
		"\"cloud\":{\"addr\":\"%s.9:%d\",\"rate_per_s\":47.0,"
		"\"duties\":[],\"max_lag_ms\":800}}\n",
		host, ip, ip, l->front, ip, l->ready, ip, l->control, ip,
		l->directory, l->peer, l->peer + 1, seed[0], l->control,
		seed[1], l->control, seed[2], l->control,
		bootstrap ? "true" : "false", data, l->net, l->list);
	fclose(f);
}

/* Two ports that follow each other: for links, and for tunnels. */
static int free_port_pair(const lab_t *l)
{
	for (;;) {
		int port = free_port(l);
		int next = port + 1;
		char ip[32];
		int fd;

		host_ip(l, 1, ip, sizeof(ip));
		fd = listen_on(ip, &next);
		if (fd < 0)
			continue;
		close(fd);
		return port;
	}
}

void lab_init(lab_t *l, const char *bin, const char *dir)
{
	snprintf(l->bin, sizeof(l->bin), "%s", bin);
	snprintf(l->dir, sizeof(l->dir), "%s", dir);
	snprintf(l->net, sizeof(l->net), "127.%d.%d",
		 100 + getpid() / 250 % 100, getpid() % 250);
	signal(SIGPIPE, SIG_IGN);
	l->front = free_port(l);
	l->ready = free_port(l);
	l->control = free_port(l);
	l->directory = free_port(l);
	l->peer = free_port_pair(l);
	for (int i = 1; i <= l->n; i++)
		write_settings(l, i, true);
}

void lab_start(lab_t *l, int host)
{
	char path[512], log[512];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/host-%d.json", l->dir, host);
	snprintf(log, sizeof(log), "%s/host-%d.log", l->dir, host);
	pid = fork();
	if (pid) {
		l->pid[host] = pid;
		record("host %d starts", host);
		return;
	}
	setenv("DAMASKLUG_CONFIG", path, 1);
	if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
		_exit(2);
	execl(l->bin, l->bin, "site", (char *)NULL);
	_exit(2);
}

void lab_stop_all(lab_t *l)
{
	for (int i = 1; i <= l->n; i++) {
		if (l->pid[i] <= 0)
			continue;
		kill(l->pid[i], SIGCONT);
		kill(l->pid[i], SIGKILL);
		waitpid(l->pid[i], NULL, 0);
		l->pid[i] = 0;
	}
}

void lab_kill(lab_t *l, int host, bool wipe)
{
	char command[600];

	kill(l->pid[host], SIGKILL);
	waitpid(l->pid[host], NULL, 0);
	l->pid[host] = 0;
	record("host %d is killed%s", host, wipe ? ", its disk is lost" : "");
	if (!wipe)
		return;
	snprintf(command, sizeof(command), "rm -rf '%s/data-%d'", l->dir, host);
	if (system(command))
		record("the data folder was not removed");
	write_settings(l, host, false);
}

bool lab_wait_ready(lab_t *l, const char *manifest)
{
	double until = now_s() + 15;
	bool put = false;
	char ip[32];

	for (int i = 1; now_s() < until; i = i % l->n + 1) {
		int n_ready = 0;

		host_ip(l, i, ip, sizeof(ip));
		if (!put)
			put = call(ip, l->control, "POST",
				   "/damasklug/config/put", manifest) == 200;
		for (int k = 1; k <= l->n; k++) {
			host_ip(l, k, ip, sizeof(ip));
			n_ready += call(ip, l->ready, "GET", "/damasklug/ready",
					"") == 200;
		}
		if (put && n_ready == l->n) {
			record("all hosts are ready");
			return true;
		}
		sleep_s(0.1);
	}
	return false;
}

typedef struct list_server {
	lab_t *l;
	int fd;
	void (*rows)(char *out, size_t size);
} list_server_t;

typedef struct list_conn {
	const list_server_t *s;
	conn_t c;
} list_conn_t;

static void *serve_list_conn(void *arg)
{
	list_conn_t *lc = arg;
	msg_t *m = calloc(1, sizeof(*m));
	char rows[16384], out[20000];
	int status;

	while (read_msg(&lc->c, m, false, &status)) {
		int n;

		lc->s->l->reader = peer_host(lc->s->l, lc->c.fd);
		lc->s->rows(rows, sizeof(rows));
		n = snprintf(out, sizeof(out),
			     "HTTP/1.1 200 OK\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n\r\n"
			     "{\"instances\":[%s],\"next\":null}",
			     strlen(rows) + strlen("{\"instances\":[],"
						   "\"next\":null}"),
			     rows);
		msg_free(m);
		if (!send_all(lc->c.fd, out, (size_t)n))
			break;
	}
	msg_free(m);
	close(lc->c.fd);
	free(m);
	free(lc);
	return NULL;
}

static void *accept_list(void *arg)
{
	list_server_t *s = arg;

	for (;;) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		list_conn_t *lc = calloc(1, sizeof(*lc));
		pthread_t t;

		if (fd < 0)
			return NULL;
		lc->s = s;
		lc->c.fd = fd;
		pthread_create(&t, NULL, serve_list_conn, lc);
		pthread_detach(t);
	}
}

void lab_serve_list(lab_t *l, void (*rows)(char *out, size_t size))
{
	list_server_t *s = calloc(1, sizeof(*s));
	char ip[64];
	pthread_t t;

	snprintf(ip, sizeof(ip), "%s.9", l->net);
	s->l = l;
	s->rows = rows;
	s->fd = listen_on(ip, &l->list);
	if (s->fd < 0)
		exit(2);
	for (int i = 1; i <= l->n; i++)
		write_settings(l, i, true);
	pthread_create(&t, NULL, accept_list, s);
	pthread_detach(t);
}
