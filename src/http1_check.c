/* http1_check.c - the parts of HTTP/1.1 in which parsers are lenient. */
#include "http1_check.h"

#include <string.h>

#include <glib.h>

#define VERSION_PREFIX "HTTP/1."
/* "HTTP/1.1 200 " */
#define STATUS_AT 9u
#define REASON_AT 13u
#define SWITCHING_PROTOCOLS 101
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

bool http1_status_line_is_valid(str_t line)
{
	size_t minor_at = strlen(VERSION_PREFIX);
	int status;

	if (line.n < REASON_AT || memcmp(line.p, VERSION_PREFIX, minor_at) != 0)
		return false;
	if (!g_ascii_isdigit(line.p[minor_at]) ||
	    line.p[STATUS_AT - 1] != ' ' || line.p[REASON_AT - 1] != ' ')
		return false;
	status = read_status(line.p + STATUS_AT);
	if (status < 0 || status == SWITCHING_PROTOCOLS)
		return false;
	return is_text(str_n(line.p + REASON_AT, line.n - REASON_AT));
}

static bool is_token(str_t s)
{
	for (size_t i = 0; i < s.n; i++)
		if (!http1_is_token_byte(s.p[i]))
			return false;
	return s.n > 0;
}

bool http1_field_line_is_valid(str_t line)
{
	str_t name, value;

	return str_split(line, ':', &name, &value) && is_token(name) &&
	       is_text(value);
}

/* Takes the next line off a head, without its CR LF. */
static str_t take_line(str_t *head)
{
	const char *end = memmem(head->p, head->n, "\r\n", 2);
	str_t line = *head;

	if (!end) {
		*head = str_n(NULL, 0);
		return line;
	}
	line.n = (size_t)(end - head->p);
	*head = str_n(end + 2, head->n - line.n - 2);
	return line;
}

bool http1_head_is_valid(str_t head, bool is_response)
{
	str_t line = take_line(&head);

	if (is_response ? !http1_status_line_is_valid(line) : !is_text(line))
		return false;
	while (head.n) {
		line = take_line(&head);
		if (line.n && !http1_field_line_is_valid(line))
			return false;
	}
	return !line.n;
}
