/*
 * json.c - reads JSON texts of other writers, of which a part may not be readable: the
 * JSON library would refuse them whole.
 */
#include "json.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Takes the place of what cannot be read: U+FFFD in UTF-8, as other writers use it, too. */
#define UNREADABLE "\xef\xbf\xbd"
/* Bytes of an escape like \u00e4. */
#define UNIT_SIZE ((size_t)6)
/* UTF-16 writes other characters as two units, a high surrogate and a low one. */
#define HIGH_SURROGATE 0xd800
#define LOW_SURROGATE 0xdc00
#define SURROGATES 0x400
/* Longer numbers are not read. */
#define NUMBER_MAX 64u

/* Length of the character in UTF-8 at the start of s; 0: it is none. */
static size_t character_size(str_t s)
{
	gunichar c = g_utf8_get_char_validated(s.p, (gssize)s.n);

	if (c == (gunichar)-1 || c == (gunichar)-2 || c < 0x20)
		return 0;
	return (size_t)(g_utf8_next_char(s.p) - s.p);
}

/* The UTF-16 unit that the escape at the start of s names; -1: it names none. */
static int escaped_unit(str_t s)
{
	int unit = 0;

	if (s.n < UNIT_SIZE || s.p[0] != '\\' || s.p[1] != 'u')
		return -1;
	for (size_t i = 2; i < UNIT_SIZE; i++) {
		if (!g_ascii_isxdigit(s.p[i]))
			return -1;
		unit = unit * 16 + g_ascii_xdigit_value(s.p[i]);
	}
	return unit;
}

static bool is_surrogate(int unit, int first)
{
	return unit >= first && unit < first + SURROGATES;
}

/* Of the escape at the start of s, its backslash included; 0: it can't be read. */
static size_t escape_size(str_t s)
{
	int unit, next;

	if (s.n >= 2 && s.p[1] != 'u')
		return s.p[1] && strchr("\"\\/bfnrt", s.p[1]) ? 2 : 0;
	unit = escaped_unit(s);
	if (unit <= 0 || is_surrogate(unit, LOW_SURROGATE))
		return 0;
	if (!is_surrogate(unit, HIGH_SURROGATE))
		return UNIT_SIZE;
	next = escaped_unit(str_n(s.p + UNIT_SIZE, s.n - UNIT_SIZE));
	return is_surrogate(next, LOW_SURROGATE) ? 2 * UNIT_SIZE : 0;
}

/* Bytes of an escape that can't be read. */
static size_t bad_escape_size(str_t s)
{
	return escaped_unit(s) >= 0 ? UNIT_SIZE : MIN(s.n, 2);
}

/* Copies the string at the start of s, its quotes included; returns its length. */
static size_t clean_string(str_t s, buf_t *out)
{
	size_t at = 1;

	buf_puts(out, "\"");
	while (at < s.n && s.p[at] != '"') {
		str_t rest = str_n(s.p + at, s.n - at);
		bool escaped = rest.p[0] == '\\';
		size_t n = escaped ? escape_size(rest) : character_size(rest);

		if (n) {
			buf_put(out, rest.p, n);
		} else {
			buf_puts(out, UNREADABLE);
			n = escaped ? bad_escape_size(rest) : 1;
		}
		at += n;
	}
	if (at == s.n)
		return at;
	buf_puts(out, "\"");
	return at + 1;
}

/* Whether the library takes the number: an integer of 64 bits, or a finite one. */
static bool number_fits(const char *text, bool is_whole)
{
	double x;

	errno = 0;
	if (is_whole) {
		strtoll(text, NULL, 10);
		return errno != ERANGE;
	}
	x = g_ascii_strtod(text, NULL);
	return x >= -G_MAXDOUBLE && x <= G_MAXDOUBLE;
}

/* As clean_string(); a number that does not fit becomes a string. */
static size_t clean_number(str_t s, buf_t *out)
{
	size_t n = 0;
	bool is_whole = true;
	char text[NUMBER_MAX] = "";

	while (n < s.n &&
	       (g_ascii_isdigit(s.p[n]) || strchr("+-.eE", s.p[n]))) {
		is_whole &= !strchr(".eE", s.p[n]);
		n++;
	}
	memcpy(text, s.p, MIN(n, sizeof(text) - 1));
	if (n < sizeof(text) && number_fits(text, is_whole))
		buf_put(out, s.p, n);
	else
		buf_puts(out, "\"" UNREADABLE "\"");
	return n;
}

/* Copies the text; what the library can't take becomes UNREADABLE. */
static void clean(str_t s, buf_t *out)
{
	size_t at = 0;

	while (at < s.n) {
		str_t rest = str_n(s.p + at, s.n - at);

		if (rest.p[0] == '"') {
			at += clean_string(rest, out);
		} else if (rest.p[0] == '-' || g_ascii_isdigit(rest.p[0])) {
			at += clean_number(rest, out);
		} else {
			buf_put(out, rest.p, 1);
			at++;
		}
	}
}

static json_t *load(str_t text)
{
	return json_loadb(text.n ? text.p : "", text.n, 0, NULL);
}

/* Sound texts are not cleaned: lists are long, and read again and again. */
static json_t *load_or_clean(str_t text, buf_t *cleaned)
{
	json_t *root = load(text);

	if (root)
		return root;
	clean(text, cleaned);
	return load(buf_str(cleaned));
}

json_t *json_load_lenient(str_t text)
{
	AUTO_BUF buf_t cleaned = {0};

	return load_or_clean(text, &cleaned);
}

/* Length of the string in cleaned text at the start of s. */
static size_t string_size(str_t s)
{
	size_t n = 1;

	while (n < s.n && s.p[n] != '"')
		n += s.p[n] == '\\' ? 2 : 1;
	return MIN(n + 1, s.n);
}

/* Length of the value at the start of s: up to a comma or bracket outside of it. */
static size_t value_size(str_t s)
{
	size_t n = 0;
	size_t depth = 0;

	while (n < s.n) {
		char c = s.p[n];

		if (!depth && (c == ',' || c == ']' || c == '}'))
			return n;
		if (c == '"') {
			n += string_size(str_n(s.p + n, s.n - n));
			continue;
		}
		depth += c == '[' || c == '{';
		depth -= c == ']' || c == '}';
		n++;
	}
	return n;
}

/* Position behind the '[' of the member of the outermost object; 0: there is none. */
static size_t find_list(str_t s, const char *key)
{
	g_autofree char *quoted = g_strdup_printf("\"%s\"", key);
	const char *at = s.n ? memmem(s.p, s.n, quoted, strlen(quoted)) : NULL;
	size_t n;

	if (!at)
		return 0;
	n = (size_t)(at - s.p) + strlen(quoted);
	while (n < s.n && (g_ascii_isspace(s.p[n]) || s.p[n] == ':'))
		n++;
	return n < s.n && s.p[n] == '[' ? n + 1 : 0;
}

/* The entries from the start of s on that are JSON; *end: behind the last one. */
static json_t *load_entries(str_t s, size_t *end)
{
	json_t *list = json_array();
	size_t at = 0;

	while (at < s.n && s.p[at] != ']') {
		size_t n = value_size(str_n(s.p + at, s.n - at));
		json_t *entry = json_loadb(s.p + at, n, JSON_DECODE_ANY, NULL);

		json_array_append_new(list, entry ? entry : json_null());
		at += n;
		if (at < s.n && s.p[at] == '}')
			break; /* more closed than opened */
		at += at < s.n && s.p[at] == ',';
	}
	*end = at;
	return list;
}

json_t *json_load_list(str_t text, const char *key)
{
	AUTO_BUF buf_t cleaned = {0};
	AUTO_BUF buf_t around = {0};
	json_t *root = load_or_clean(text, &cleaned);
	json_t *list;
	size_t begin, end;

	if (root)
		return root;
	begin = find_list(buf_str(&cleaned), key);
	if (!begin)
		return NULL;
	list = load_entries(str_n(cleaned.p + begin, cleaned.n - begin), &end);
	buf_put(&around, cleaned.p, begin);
	buf_put(&around, cleaned.p + begin + end, cleaned.n - begin - end);
	root = load(buf_str(&around));
	if (root)
		json_object_set(root, key, list);
	json_decref(list);
	return root;
}

bool json_is_readable(const json_t *v)
{
	const char *key;
	json_t *member;
	size_t i;

	if (json_is_string(v))
		return !strstr(json_string_value(v), UNREADABLE);
	json_array_foreach(v, i, member)
	{
		if (!json_is_readable(member))
			return false;
	}
	json_object_foreach((json_t *)v, key, member)
	{
		if (strstr(key, UNREADABLE) || !json_is_readable(member))
			return false;
	}
	return true;
}
