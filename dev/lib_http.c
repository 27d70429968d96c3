/* lib_http.c - HTTP server on CivetWeb and blocking GET on libcurl. */
#include "lib_http.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include <civetweb.h>
#include <curl/curl.h>

#define BODY_MAX (4u << 20)
#define KEEP_ALIVE_TIMEOUT_MS "1000"

struct http_server {
	struct mg_context *mg;
	http_handler_fn_t handler;
	void *ctx;
};

static const char *status_text(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 503:
		return "Service Unavailable";
	default:
		return "Error";
	}
}

/* Stops at the end of the body or once it is longer than BODY_MAX. */
static void read_body(struct mg_connection *conn, buf_t *body)
{
	for (;;) {
		char part[8192];
		int n = mg_read(conn, part, sizeof(part));

		if (n <= 0 || body->n > BODY_MAX)
			return;
		buf_put(body, part, (size_t)n);
	}
}

static int on_request(struct mg_connection *conn, void *ctx)
{
	http_server_t *s = ctx;
	const struct mg_request_info *info = mg_get_request_info(conn);
	http_req_t req = {.conn = conn};

	req.method = str_c(info->request_method);
	req.path = str_c(info->local_uri);
	req.query = str_c(info->query_string);
	read_body(conn, &req.body);
	s->handler(s->ctx, &req);
	buf_free(&req.body);
	return 1;
}

http_server_t *http_server_start(int *port, int threads,
				 http_handler_fn_t handler, void *ctx)
{
	http_server_t *s = xcalloc(1, sizeof(*s));
	char ports[32], thread_count[16];
	struct mg_server_port bound_ports[1];
	const char *options[] = {"listening_ports",
				 ports,
				 "num_threads",
				 thread_count,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 KEEP_ALIVE_TIMEOUT_MS,
				 "tcp_nodelay",
				 "1",
				 "request_timeout_ms",
				 "120000",
				 "connection_queue",
				 "512",
				 "listen_backlog",
				 "512",
				 NULL};

	snprintf(ports, sizeof(ports), "127.0.0.1:%d", *port);
	snprintf(thread_count, sizeof(thread_count), "%d", threads);
	s->handler = handler;
	s->ctx = ctx;
	mg_init_library(0);
	s->mg = mg_start(NULL, NULL, options);
	if (!s->mg || mg_get_server_ports(s->mg, 1, bound_ports) < 1) {
		http_server_stop(s);
		return NULL;
	}
	*port = bound_ports[0].port;
	mg_set_request_handler(s->mg, "/", on_request, s);
	return s;
}

void http_server_stop(http_server_t *s)
{
	if (s->mg)
		mg_stop(s->mg);
	free(s);
}

str_t http_header(const http_req_t *req, const char *name)
{
	return str_c(mg_get_header(req->conn, name));
}

uint64_t http_header_u64(const http_req_t *req, const char *name,
			 uint64_t default_value)
{
	uint64_t v;

	return str_to_u64(http_header(req, name), &v) ? default_value : v;
}

bool http_query_param(const http_req_t *req, const char *name, char *out,
		      size_t n)
{
	return req->query.n &&
	       mg_get_var(req->query.p, req->query.n, name, out, n) >= 0;
}

static void send_response(http_req_t *req, int status, const char *headers,
			  const char *type, str_t body)
{
	AUTO_BUF buf_t out = {0};

	buf_printf(&out, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n", status,
		   status_text(status), type);
	buf_printf(&out, "Content-Length: %zu\r\n%s\r\n", body.n,
		   headers ? headers : "");
	buf_put(&out, body.p, body.n);
	mg_write(req->conn, out.p, out.n);
}

void http_text(http_req_t *req, int status, const char *type, str_t body)
{
	send_response(req, status, NULL, type, body);
}

void http_json(http_req_t *req, int status, const char *headers, json_t *doc)
{
	AUTO_FREE char *text = json_dumps(doc, JSON_COMPACT);

	send_response(req, status, headers, "application/json", str_c(text));
}

void http_error(http_req_t *req, int status, const char *headers,
		const char *error)
{
	json_t *doc = json_pack("{s:s}", "error", error);

	http_json(req, status, headers, doc);
	json_decref(doc);
}

int http_stream_begin(http_req_t *req, const char *headers, const char *type)
{
	AUTO_BUF buf_t out = {0};

	buf_printf(&out,
		   "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
		   "Transfer-Encoding: chunked\r\n%s\r\n",
		   type, headers ? headers : "");
	return mg_write(req->conn, out.p, out.n) > 0 ? 0 : -1;
}

int http_stream_part(http_req_t *req, str_t part)
{
	if (!part.n)
		return 0;
	return mg_send_chunk(req->conn, part.p, (unsigned)part.n) > 0 ? 0 : -1;
}

int http_stream_end(http_req_t *req)
{
	return mg_send_chunk(req->conn, "", 0) > 0 ? 0 : -1;
}

void http_close_after_response(http_req_t *req)
{
	mg_disable_connection_keep_alive(req->conn);
}

static size_t append_body(char *p, size_t size, size_t n, void *ctx)
{
	buf_put(ctx, p, size * n);
	return size * n;
}

int http_get(const char *url, long timeout_ms, buf_t *body)
{
	CURL *curl = curl_easy_init();
	long status = -1;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	return (int)status;
}

int64_t dev_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

void dev_sleep_us(int64_t us)
{
	struct timespec ts = {us / USEC_PER_SEC, us % USEC_PER_SEC * 1000};

	nanosleep(&ts, NULL);
}

void dev_wait_signal(void)
{
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGTERM);
	sigprocmask(SIG_BLOCK, &set, NULL);
	sigwait(&set, &sig);
}
