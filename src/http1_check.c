/* http1_check.c - the parts of HTTP/1.1 in which parsers are lenient. */
#include "http1_check.h"

#include <string.h>

#include <glib.h>
#include <http_parser.h>

#include "http1.h"

#define VERSION_PREFIX "HTTP/1."
/* "HTTP/1.1 200 " */
#define STATUS_AT 9u
#define REASON_AT 13u
#define BLANKS " \t"
/* Beside letters and digits, in the name of a field. */
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

bool http1_is_text_byte(char ch)
{
	return ch == '\t' || !g_ascii_iscntrl(ch);
}

bool http1_is_token_byte(char ch)
{
	return g_ascii_isalnum(ch) ||
	       memchr(TOKEN_MARKS, ch, strlen(TOKEN_MARKS));
}

static bool is_text(str_t s)
{
	for (size_t i = 0; i < s.n; i++)
		if (!http1_is_text_byte(s.p[i]))
			return false;
	return true;
}

/* A status of three digits; -1: it is none. */
static int read_status(const char *digits)
{
	int status = 0;

	for (size_t i = 0; i < 3; i++) {
		if (!g_ascii_isdigit(digits[i]))
			return -1;
		status = status * 10 + g_ascii_digit_value(digits[i]);
	}
	return status >= 100 && status <= 599 ? status : -1;
}

/* Reads "HTTP/1.x STATUS REASON", without its CR LF. */
static int read_status_line(http1_lines_t *l, str_t line)
{
	size_t minor_at = strlen(VERSION_PREFIX);
	int status;

	if (line.n < REASON_AT || memcmp(line.p, VERSION_PREFIX, minor_at) != 0)
		return -1;
	if (!g_ascii_isdigit(line.p[minor_at]) ||
	    line.p[STATUS_AT - 1] != ' ' || line.p[REASON_AT - 1] != ' ')
		return -1;
	status = read_status(line.p + STATUS_AT);
	if (status < 0 || status == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return -1;
	if (!is_text(str_n(line.p + REASON_AT, line.n - REASON_AT)))
		return -1;
	l->status = status;
	l->is_1_0 = line.p[minor_at] == '0';
	l->at = HTTP1_AT_FIELD;
	return 0;
}

/* The parser reads the rest of it. */
static int read_request_line(http1_lines_t *l, str_t line)
{
	const str_t version = STR(" " VERSION_PREFIX "0");

	if (!is_text(line))
		return -1;
	l->is_1_0 = line.n > version.n && memcmp(line.p + line.n - version.n,
						 version.p, version.n) == 0;
	l->at = HTTP1_AT_FIELD;
	return 0;
}

static bool is_token(str_t s)
{
	for (size_t i = 0; i < s.n; i++)
		if (!http1_is_token_byte(s.p[i]))
			return false;
	return s.n > 0;
}

/* Splits a field, without its CR LF. */
static int split_field(http1_lines_t *l, str_t line)
{
	str_t value;

	if (!str_split(line, ':', &l->name, &value) || !is_token(l->name) ||
	    !is_text(value))
		return -1;
	while (value.n && strchr(BLANKS, value.p[0]))
		value = str_n(value.p + 1, value.n - 1);
	while (value.n && strchr(BLANKS, value.p[value.n - 1]))
		value.n--;
	l->value = value;
	return 0;
}

static int read_field(http1_lines_t *l, str_t line)
{
	if (split_field(l, line) < 0)
		return -1;
	if (l->at == HTTP1_AT_TRAILER)
		return 0;
	if (http1_name_eq(l->name, STR("Content-Length"))) {
		l->n_framing++;
		if (str_to_u64(l->value, &l->length) < 0 ||
		    l->length > INT64_MAX)
			return -1;
	}
	if (http1_name_eq(l->name, STR("Transfer-Encoding"))) {
		l->n_framing++;
		l->chunked = true;
		if (!http1_name_eq(l->value, STR("chunked")))
			return -1;
	}
	return 0;
}

/* A 304 tells the length that another answer has. */
static bool may_announce_body(const http1_lines_t *l)
{
	return !l->status || l->status == HTTP_STATUS_NOT_MODIFIED ||
	       http1_status_has_body(l->status);
}

static int end_head(http1_lines_t *l)
{
	if (l->n_framing > 1 || (l->chunked && l->is_1_0))
		return -1;
	if ((l->chunked || l->length) && !may_announce_body(l))
		return -1;
	l->at = HTTP1_AT_TRAILER;
	if (http1_status_is_interim(l->status))
		memset(l, 0, sizeof(*l));
	return 0;
}

int http1_lines_read(http1_lines_t *l, str_t line)
{
	if (line.n < 2 || memcmp(line.p + line.n - 2, "\r\n", 2) != 0)
		return -1;
	line.n -= 2;
	l->name = str_n(NULL, 0);
	switch (l->at) {
	case HTTP1_AT_STATUS:
		return read_status_line(l, line);
	case HTTP1_AT_REQUEST:
		return read_request_line(l, line);
	case HTTP1_AT_FIELD:
		return line.n ? read_field(l, line) : end_head(l);
	case HTTP1_AT_TRAILER:
		return line.n ? read_field(l, line) : 0;
	}
	return -1;
}

int http1_lines_next(http1_lines_t *l, str_t *head)
{
	const char *end = memmem(head->p, head->n, "\r\n", 2);
	size_t n = end ? (size_t)(end - head->p) + 2 : head->n;
	str_t line = str_n(head->p, n);

	if (!n)
		return 0;
	*head = str_n(head->p + n, head->n - n);
	return http1_lines_read(l, line) < 0 ? -1 : 1;
}
