/*
 * standin.c - small stand-ins for the cases of the review: the platform's list, a
 * runner of a plain service, and an HTTP client. Plain C, one thread for each
 * connection; no library of the project is used.
 *
 *   standin ports N                      prints N free ports
 *   standin list IP:PORT FILE RECORD     serves GET /runners with FILE's bytes
 *   standin runner ID IP:PORT CTL RECORD [WORK_MS]
 *   standin load PREFIX SECONDS PER_S PATH FILE IP:PORT...
 *                                        sends GETs to the addresses in turn; a line in
 *                                        FILE for each: time, id, address, status
 *   standin killwhen PID FILE SECONDS    kills the process once FILE is replaced by another
 *                                        file; prints whether it was
 *   standin call TIMEOUT_MS IP:PORT METHOD PATH [-H LINE]... [-d FILE] [-o FILE]
 *                                        prints the status; 0: no answer
 *
 * A runner answers 421 to a request that names another instance, and 200 with a
 * proof to any other one. While the file CTL/ID.leaving exists, it says in each
 * answer that it leaves.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BODY_MAX (4 << 20)

typedef struct message {
	char head[HEAD_MAX]; /* with the empty line, and a NUL */
	size_t head_n;
	char *body;
	size_t body_n;
} message_t;

static const char *record_path;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void record(const char *format, ...)
{
	va_list args;
	FILE *f;

	if (!record_path)
		return;
	pthread_mutex_lock(&record_lock);
	f = fopen(record_path, "a");
	if (f) {
		fprintf(f, "%.3f ", now_s());
		va_start(args, format);
		vfprintf(f, format, args);
		va_end(args);
		fputc('\n', f);
		fclose(f);
	}
	pthread_mutex_unlock(&record_lock);
}

static int parse_addr(const char *text, struct sockaddr_in *out)
{
	char ip[64];
	int port;

	memset(out, 0, sizeof(*out));
	if (sscanf(text, "%63[0-9.]:%d", ip, &port) != 2)
		return -1;
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

/* Value of a field as a copy; NULL: there is none. */
static char *field(const message_t *m, const char *name)
{
	size_t n = strlen(name);
	const char *line = strstr(m->head, "\r\n");

	while (line && line[2] && line[2] != '\r') {
		line += 2;
		if (!strncasecmp(line, name, n) && line[n] == ':') {
			const char *value = line + n + 1;

			value += strspn(value, " ");
			return strndup(value, strcspn(value, "\r"));
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

static int write_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t done = send(fd, p, n, MSG_NOSIGNAL);

		if (done <= 0)
			return -1;
		p += done;
		n -= (size_t)done;
	}
	return 0;
}

/* Reads until n bytes of body are there; n -1: until the end. */
static int read_body(int fd, message_t *m, long n)
{
	while (n < 0 || m->body_n < (size_t)n) {
		ssize_t got;

		if (m->body_n >= BODY_MAX - 1)
			return -1;
		got = recv(fd, m->body + m->body_n, BODY_MAX - 1 - m->body_n,
			   0);
		if (got == 0 && n < 0)
			return 0;
		if (got <= 0)
			return -1;
		m->body_n += (size_t)got;
	}
	return 0;
}

/*
 * Reads one message; bodies have a length, or, of a response, end with the
 * connection. Chunked bodies are returned as they come, until the last chunk.
 */
static int read_message(int fd, message_t *m, bool response)
{
	char *end = NULL, *length, *coding;
	size_t extra;
	int rc = 0;

	m->head_n = 0;
	m->body_n = 0;
	while (!end) {
		ssize_t got;

		if (m->head_n >= HEAD_MAX - 1)
			return -1;
		got = recv(fd, m->head + m->head_n, HEAD_MAX - 1 - m->head_n,
			   0);
		if (got <= 0)
			return -1;
		m->head_n += (size_t)got;
		m->head[m->head_n] = '\0';
		end = strstr(m->head, "\r\n\r\n");
	}
	extra = m->head_n - (size_t)(end + 4 - m->head);
	memcpy(m->body, end + 4, extra);
	m->body_n = extra;
	end[4] = '\0';
	length = field(m, "Content-Length");
	coding = field(m, "Transfer-Encoding");
	if (coding) {
		while (m->body_n < 5 ||
		       memcmp(m->body + m->body_n - 5, "0\r\n\r\n", 5)) {
			if (read_body(fd, m, (long)m->body_n + 1) < 0) {
				rc = -1;
				break;
			}
		}
	} else if (length) {
		rc = read_body(fd, m, atol(length));
	} else if (response) {
		rc = read_body(fd, m, -1);
	}
	free(length);
	free(coding);
	m->body[m->body_n] = '\0';
	return rc;
}

static message_t *message_new(void)
{
	message_t *m = calloc(1, sizeof(*m));

	m->body = malloc(BODY_MAX);
	return m;
}

/* Servers. */

static struct {
	const char *list_file; /* NULL: this is a runner */
	const char *id;
	const char *ctl;
	int work_ms;
} server;

static void respond(int fd, int status, const char *fields, const char *body,
		    size_t n)
{
	char head[1024];
	int head_n = snprintf(head, sizeof(head),
			      "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
			      status, fields, n);

	if (write_all(fd, head, (size_t)head_n) == 0)
		write_all(fd, body, n);
}

static void serve_list(int fd)
{
	static char bytes[1 << 20];
	FILE *f;
	size_t n = 0;

	pthread_mutex_lock(&record_lock);
	f = fopen(server.list_file, "r");
	if (f) {
		n = fread(bytes, 1, sizeof(bytes), f);
		fclose(f);
	}
	pthread_mutex_unlock(&record_lock);
	respond(fd, 200, "Content-Type: application/json\r\n", bytes, n);
}

static void serve_request(int fd, const message_t *m)
{
	char *id = field(m, "Request-Id");
	char *expected = field(m, "Expect-Instance");
	char path[512], fields[1024], line[256] = "";
	bool leaving;

	sscanf(m->head, "%255[^\r]", line);
	snprintf(path, sizeof(path), "%s/%s.leaving", server.ctl, server.id);
	leaving = access(path, F_OK) == 0;
	snprintf(fields, sizeof(fields),
		 "Instance-Id: %s\r\nRequest-Id: %s\r\n%s", server.id,
		 id ? id : "", leaving ? "Server-Leaving: 1\r\n" : "");
	if (strstr(line, "/damasklug/report")) {
		char body[128];

		snprintf(body, sizeof(body),
			 "{\"stage\":\"colocated\",\"models\":[],\"busy\":"
			 "false,\"seq\":0}");
		respond(fd, 200, fields, body, strlen(body));
	} else if (expected && strcmp(expected, server.id)) {
		record("421 %s %s", server.id, id ? id : "-");
		strcat(fields, "Not-Executed: 1\r\n");
		respond(fd, 421, fields, "", 0);
	} else if (!id) {
		strcat(fields, "Not-Executed: 1\r\n");
		respond(fd, 400, fields, "", 0);
	} else {
		record("run %s %s%s %s", server.id, id,
		       leaving ? " leaving" : "", line);
		usleep((useconds_t)server.work_ms * 1000);
		strcat(fields, "Response-Signature: proof\r\n");
		respond(fd, 200, fields, "done", 4);
	}
	free(id);
	free(expected);
}

static void *serve_conn(void *arg)
{
	int fd = (int)(long)arg;
	message_t *m = message_new();

	while (read_message(fd, m, false) == 0) {
		if (server.list_file)
			serve_list(fd);
		else
			serve_request(fd, m);
	}
	close(fd);
	free(m->body);
	free(m);
	return NULL;
}

static int serve(const char *addr_text)
{
	struct sockaddr_in addr;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (parse_addr(addr_text, &addr) < 0)
		return 2;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0 ||
	    listen(fd, 256) < 0) {
		perror(addr_text);
		return 2;
	}
	for (;;) {
		pthread_t t;
		pthread_attr_t attr;
		int conn = accept(fd, NULL, NULL);

		if (conn < 0)
			continue;
		pthread_attr_init(&attr);
		pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
		if (pthread_create(&t, &attr, serve_conn, (void *)(long)conn))
			close(conn);
		pthread_attr_destroy(&attr);
	}
}

/* Client. */

static int call(int argc, char **argv)
{
	struct timeval timeout = {atoi(argv[0]) / 1000,
				  atoi(argv[0]) % 1000 * 1000};
	struct sockaddr_in addr;
	message_t *m = message_new();
	static char request[HEAD_MAX + BODY_MAX];
	static char body[BODY_MAX];
	const char *out_path = NULL;
	size_t body_n = 0;
	bool has_host = false;
	int n, status = 0;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (argc < 4 || parse_addr(argv[1], &addr) < 0)
		return 2;
	n = sprintf(request, "%s %s HTTP/1.1\r\n", argv[2], argv[3]);
	for (int i = 4; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "-H")) {
			n += sprintf(request + n, "%s\r\n", argv[i + 1]);
			has_host |= !strncasecmp(argv[i + 1], "Host:", 5);
		} else if (!strcmp(argv[i], "-o")) {
			out_path = argv[i + 1];
		} else if (!strcmp(argv[i], "-d")) {
			FILE *f = fopen(argv[i + 1], "r");

			if (!f)
				return 2;
			body_n = fread(body, 1, sizeof(body), f);
			fclose(f);
		}
	}
	if (!has_host)
		n += sprintf(request + n, "Host: %s\r\n", argv[1]);
	n += sprintf(request + n, "Connection: close\r\nContent-Length: %zu\r\n\r\n",
		     body_n);
	memcpy(request + n, body, body_n);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    write_all(fd, request, (size_t)n + body_n) == 0 &&
	    read_message(fd, m, true) == 0)
		sscanf(m->head, "HTTP/1.%*d %d", &status);
	printf("%d\n", status);
	if (out_path) {
		FILE *f = fopen(out_path, "w");

		if (f) {
			if (status)
				fwrite(m->body, 1, m->body_n, f);
			fclose(f);
		}
	}
	return 0;
}

/* Load: one thread for each request under way. */

static struct {
	const char *prefix, *path;
	char **addrs;
	int n_addrs;
} load;

static void *send_one(void *arg)
{
	long i = (long)arg;
	const struct timeval timeout = {3, 500000};
	const char *to = load.addrs[i % load.n_addrs];
	struct sockaddr_in addr;
	char request[512];
	message_t *m = message_new();
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int status = 0;
	int n = snprintf(request, sizeof(request),
			 "GET %s%ld HTTP/1.1\r\nHost: x.example\r\nRequest-Id: "
			 "%s%ld\r\nDeadline-Ms: 3000\r\n\r\n",
			 load.path, i, load.prefix, i);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (parse_addr(to, &addr) == 0 &&
	    connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    write_all(fd, request, (size_t)n) == 0 &&
	    read_message(fd, m, true) == 0)
		sscanf(m->head, "HTTP/1.%*d %d", &status);
	close(fd);
	record("%s%ld %s %d", load.prefix, i, to, status);
	free(m->body);
	free(m);
	return NULL;
}

static int run_load(int argc, char **argv)
{
	double until, next = now_s();
	double gap = 1 / atof(argv[2]);
	pthread_attr_t attr;

	load.prefix = argv[0];
	load.path = argv[3];
	record_path = argv[4];
	load.addrs = argv + 5;
	load.n_addrs = argc - 5;
	until = next + atof(argv[1]);
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	for (long i = 0; next < until; i++, next += gap) {
		double wait = next - now_s();
		pthread_t t;

		if (wait > 0)
			usleep((useconds_t)(wait * 1e6));
		pthread_create(&t, &attr, send_one, (void *)i);
	}
	usleep(3600000);
	return 0;
}

static int kill_when_replaced(int pid, const char *path, int seconds)
{
	struct stat before, now;
	ino_t inode = stat(path, &before) ? 0 : before.st_ino;
	double until = now_s() + seconds;

	while (now_s() < until) {
		if (stat(path, &now) || now.st_ino == inode)
			continue;
		kill(pid, SIGKILL);
		puts("killed");
		return 0;
	}
	puts("not replaced");
	return 0;
}

static int print_ports(int n)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t len = sizeof(addr);
	int fds[64];

	for (int i = 0; i < n && i < 64; i++) {
		int one = 1;

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fds[i], SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		addr.sin_port = 0;
		addr.sin_addr.s_addr = htonl(INADDR_ANY);
		if (bind(fds[i], (struct sockaddr *)&addr, sizeof(addr)) < 0 ||
		    getsockname(fds[i], (struct sockaddr *)&addr, &len) < 0)
			return 2;
		printf("%d\n", ntohs(addr.sin_port));
	}
	return 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc == 3 && !strcmp(argv[1], "ports"))
		return print_ports(atoi(argv[2]));
	if (argc == 5 && !strcmp(argv[1], "list")) {
		server.list_file = argv[3];
		record_path = argv[4];
		return serve(argv[2]);
	}
	if (argc >= 6 && !strcmp(argv[1], "runner")) {
		server.id = argv[2];
		server.ctl = argv[4];
		record_path = argv[5];
		server.work_ms = argc > 6 ? atoi(argv[6]) : 20;
		return serve(argv[3]);
	}
	if (argc == 5 && !strcmp(argv[1], "killwhen"))
		return kill_when_replaced(atoi(argv[2]), argv[3],
					  atoi(argv[4]));
	if (argc >= 8 && !strcmp(argv[1], "load"))
		return run_load(argc - 2, argv + 2);
	if (argc >= 6 && !strcmp(argv[1], "call"))
		return call(argc - 2, argv + 2);
	fprintf(stderr, "standin: see the head of standin.c\n");
	return 2;
}
