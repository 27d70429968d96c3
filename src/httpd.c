/* httpd.c - HTTP server on one TCP port, over CivetWeb. */
#include "httpd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "log.h"

#define FD_SCAN_MAX 65536	/* end of the search for a socket */
#define FD_SCAN_GAP 64		/* consecutive unused descriptors that end it */
#define DISCARD_MAX (16u << 20) /* input bytes read before a connection ends */
#define DISCARD_MS 1000		/* longest time for that */
#define READ_SIZE 8192
#define WRITE_SIZE_MAX 16384u
#define BACKLOG "1024"
#define WORKER_THREAD 1 /* thread type that CivetWeb passes to init_thread */

struct httpd {
	struct mg_context *mg;
	httpd_cfg_t cfg;
	httpd_handler_t handler;
	void *ctx;
};

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static int on_request(struct mg_connection *conn)
{
	httpd_t *h = mg_get_user_context_data(conn);

	h->handler(h->ctx, conn);
	return 200;
}

static int on_log(const struct mg_connection *conn, const char *message)
{
	log_event(LOG_DEBUG, "http_message", KV_C("text", message));
	return 1;
}

static void *on_thread_begin(const struct mg_context *mg, int type)
{
	httpd_t *h = mg_get_user_data(mg);

	if (type == WORKER_THREAD && h->cfg.thread_begin)
		h->cfg.thread_begin();
	return NULL;
}

static void on_thread_end(const struct mg_context *mg, int type, void *thread)
{
	httpd_t *h = mg_get_user_data(mg);

	if (type == WORKER_THREAD && h->cfg.thread_end)
		h->cfg.thread_end();
}

httpd_t *httpd_start(const httpd_cfg_t *cfg, httpd_handler_t handler, void *ctx)
{
	httpd_t *h = xcalloc(1, sizeof(*h));
	AUTO_FREE char *listen = str_dup(cfg->listen);
	char threads[16];
	char head_max[16];
	char io_timeout[24];
	char keep_alive[24];
	const char *options[] = {
		"listening_ports",
		listen,
		"num_threads",
		threads,
		"max_request_size",
		head_max,
		"request_timeout_ms",
		io_timeout,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		keep_alive,
		"connection_queue",
		BACKLOG,
		"listen_backlog",
		BACKLOG,
		"tcp_nodelay",
		"1",
		"enable_auth_domain_check",
		"no",
		NULL,
	};
	struct mg_callbacks callbacks = {
		.begin_request = on_request,
		.log_message = on_log,
		.init_thread = on_thread_begin,
		.exit_thread = on_thread_end,
	};

	snprintf(threads, sizeof(threads), "%u", cfg->threads);
	snprintf(head_max, sizeof(head_max), "%u", cfg->head_max);
	snprintf(io_timeout, sizeof(io_timeout), "%lld",
		 (long long)cfg->io_timeout_ms);
	snprintf(keep_alive, sizeof(keep_alive), "%lld",
		 (long long)cfg->keep_alive_ms);
	h->cfg = *cfg;
	h->handler = handler;
	h->ctx = ctx;
	h->mg = mg_start(&callbacks, h, options);
	if (h->mg)
		return h;
	log_event(LOG_ERR, "http_listen_failed", KV_C("port", cfg->name),
		  kv_s("addr", cfg->listen));
	free(h);
	return NULL;
}

void httpd_stop(httpd_t *h)
{
	if (!h)
		return;
	mg_stop(h->mg);
	free(h);
}

str_t httpd_header(const struct mg_connection *conn, const char *name)
{
	return str_c(mg_get_header(conn, name));
}

str_t httpd_bearer_token(const struct mg_connection *conn)
{
	str_t value = httpd_header(conn, "Authorization");
	str_t prefix = STR("Bearer ");

	if (value.n <= prefix.n || memcmp(value.p, prefix.p, prefix.n) != 0)
		return str_n(NULL, 0);
	return str_n(value.p + prefix.n, value.n - prefix.n);
}

bool httpd_query_param(const struct mg_connection *conn, const char *name,
		       buf_t *value)
{
	const char *query = mg_get_request_info(conn)->query_string;
	size_t room = query ? strlen(query) + 1 : 0;
	int n;

	if (!room)
		return false;
	n = mg_get_var(query, room - 1, name, buf_reserve(value, room), room);
	if (n < 0)
		return false;
	value->n += (size_t)n;
	return true;
}

reason_t httpd_read_body(struct mg_connection *conn, size_t max,
			 int64_t timeout_ms, buf_t *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	int64_t deadline_ms = now_ms() + timeout_ms;

	if (info->content_length > (long long)max)
		return REASON_BODY_TOO_LARGE;
	for (;;) {
		int n = mg_read(conn, buf_reserve(body, READ_SIZE), READ_SIZE);

		if (n > 0)
			body->n += (size_t)n;
		if (body->n > max)
			return REASON_BODY_TOO_LARGE;
		if (n <= 0)
			break;
		if (now_ms() > deadline_ms)
			return REASON_BODY_TIMEOUT;
	}
	if (info->content_length >= 0 && body->n < (size_t)info->content_length)
		return REASON_BODY_TIMEOUT;
	buf_put(body, NULL, 0); /* puts the final NUL */
	return REASON_NONE;
}

static const char *status_text(int status)
{
	static const struct {
		int status;
		const char *text;
	} texts[] = {
		{200, "OK"},
		{202, "Accepted"},
		{400, "Bad Request"},
		{401, "Unauthorized"},
		{403, "Forbidden"},
		{404, "Not Found"},
		{405, "Method Not Allowed"},
		{408, "Request Timeout"},
		{409, "Conflict"},
		{413, "Content Too Large"},
		{422, "Unprocessable Content"},
		{429, "Too Many Requests"},
		{431, "Request Header Fields Too Large"},
		{499, "Client Closed Request"},
		{500, "Internal Server Error"},
		{502, "Bad Gateway"},
		{503, "Service Unavailable"},
		{504, "Gateway Timeout"},
	};

	for (size_t i = 0; i < ARRAY_SIZE(texts); i++)
		if (texts[i].status == status)
			return texts[i].text;
	return "Status";
}

static int write_all(struct mg_connection *conn, str_t data)
{
	while (data.n) {
		size_t n = data.n < WRITE_SIZE_MAX ? data.n : WRITE_SIZE_MAX;

		if (mg_write(conn, data.p, n) != (int)n)
			return -1;
		data.p += n;
		data.n -= n;
	}
	return 0;
}

static void put_head(buf_t *out, int status, const char *type, str_t headers)
{
	buf_printf(out, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%.*s", status,
		   status_text(status), type, STR_ARG(headers));
}

int httpd_send_response(struct mg_connection *conn, int status,
			const char *type, str_t headers, str_t body)
{
	AUTO_BUF buf_t out = {0};

	put_head(&out, status, type, headers);
	buf_printf(&out, "Content-Length: %zu\r\n\r\n", body.n);
	buf_put(&out, body.p, body.n);
	return write_all(conn, buf_str(&out));
}

int httpd_send_head(struct mg_connection *conn, int status, const char *type,
		    str_t headers)
{
	AUTO_BUF buf_t out = {0};

	put_head(&out, status, type, headers);
	buf_puts(&out, "\r\n");
	return write_all(conn, buf_str(&out));
}

int httpd_begin_chunked(struct mg_connection *conn, int status,
			const char *type, str_t headers)
{
	AUTO_BUF buf_t out = {0};

	put_head(&out, status, type, headers);
	buf_puts(&out, "Cache-Control: no-cache\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n");
	return write_all(conn, buf_str(&out));
}

int httpd_send_chunk(struct mg_connection *conn, str_t data)
{
	AUTO_BUF buf_t out = {0};

	buf_printf(&out, "%zx\r\n", data.n);
	buf_put(&out, data.p, data.n);
	buf_puts(&out, "\r\n");
	return write_all(conn, buf_str(&out));
}

void httpd_error_json(buf_t *out, reason_t reason, run_state_t run,
		      uint32_t retry_ms, str_t detail)
{
	json_t *doc;
	char *text;

	if (!detail.n)
		detail = str_c(reason_info(reason)->help);
	doc = json_pack("{s:{s:s, s:s, s:I, s:s%}}", "error", "reason",
			reason_info(reason)->name, "run", run_state_name(run),
			"retry_after_ms", (json_int_t)retry_ms, "detail",
			detail.p, detail.n);
	text = doc ? json_dumps(doc, JSON_COMPACT) : NULL;
	buf_puts(out, text ? text : "{\"error\":{\"reason\":\"bad_request\"}}");
	free(text);
	json_decref(doc);
}

static bool is_endpoint(const struct sockaddr_in *addr, const char *ip,
			int port)
{
	char text[INET_ADDRSTRLEN];

	if (addr->sin_family != AF_INET || ntohs(addr->sin_port) != port)
		return false;
	if (!ip)
		return true;
	return inet_ntop(AF_INET, &addr->sin_addr, text, sizeof(text)) &&
	       strcmp(text, ip) == 0;
}

static bool is_socket_of_connection(int fd, const struct mg_request_info *info)
{
	struct sockaddr_in addr;
	socklen_t n = sizeof(addr);

	memset(&addr, 0, sizeof(addr));
	if (getpeername(fd, (struct sockaddr *)&addr, &n) < 0 ||
	    !is_endpoint(&addr, info->remote_addr, info->remote_port))
		return false;
	n = sizeof(addr);
	if (getsockname(fd, (struct sockaddr *)&addr, &n) < 0)
		return false;
	return is_endpoint(&addr, NULL, info->server_port);
}

int httpd_find_socket(const struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	int gap = 0;

	for (int fd = 0; fd < FD_SCAN_MAX && gap < FD_SCAN_GAP; fd++) {
		struct sockaddr_storage peer;
		socklen_t n = sizeof(peer);

		if (getpeername(fd, (struct sockaddr *)&peer, &n) < 0) {
			gap = errno == EBADF ? gap + 1 : 0;
			continue;
		}
		gap = 0;
		if (is_socket_of_connection(fd, info))
			return fd;
	}
	return -1;
}

bool httpd_peer_closed(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLRDHUP};

	if (fd < 0)
		return true;
	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL));
}

/*
 * Reads what the peer is still sending. Closing a socket with unread input
 * resets the connection, and the peer might then lose the response.
 */
static void discard_input(int fd)
{
	int64_t deadline_ms = now_ms() + DISCARD_MS;
	char buf[READ_SIZE];
	size_t n_discarded = 0;

	while (n_discarded < DISCARD_MAX) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		int64_t remaining_ms = deadline_ms - now_ms();
		ssize_t n;

		if (remaining_ms <= 0 || poll(&p, 1, (int)remaining_ms) <= 0)
			return;
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n <= 0)
			return;
		n_discarded += (size_t)n;
	}
}

void httpd_abort(struct mg_connection *conn)
{
	int fd = httpd_find_socket(conn);

	if (fd < 0)
		return;
	shutdown(fd, SHUT_WR);
	discard_input(fd);
	shutdown(fd, SHUT_RDWR);
}
