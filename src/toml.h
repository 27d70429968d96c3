/*
 * toml.h - reads a TOML document into a flat list of values with line numbers.
 * The parser is toml++.
 */
#ifndef DK_TOML_H
#define DK_TOML_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum toml_kind {
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOL,
	TOML_EMPTY_ARRAY, /* an array without elements */
	TOML_OTHER,	  /* dates and times */
} toml_kind_t;

/*
 * One value of the document. Its strings live as long as the document. Of
 * string, integer, number and boolean only the one that kind names is set,
 * and number also for TOML_INTEGER.
 */
typedef struct toml_item {
	str_t section; /* dotted path of the table; empty for the root table */
	/* 1-based position of the table in an array of tables; else 0. */
	uint32_t table_index;
	str_t key;
	/* 1-based position of the value in an array of values; else 0. */
	uint32_t element_index;
	toml_kind_t kind;
	str_t string;
	int64_t integer;
	double number;
	bool boolean;
	uint32_t line; /* 1-based */
} toml_item_t;

typedef struct toml_doc toml_doc_t;

/*
 * Parses text. Returns NULL where it is not valid TOML, and then appends one
 * line "name:line: ..." to errors.
 */
toml_doc_t *toml_parse(str_t text, str_t name, buf_t *errors);
/* Like toml_parse(), but reads the text from a file. */
toml_doc_t *toml_parse_file(const char *path, buf_t *errors);
void toml_free(toml_doc_t *doc);
size_t toml_item_count(const toml_doc_t *doc);
/* The i-th value in ascending order of lines; i < toml_item_count(). */
const toml_item_t *toml_item_at(const toml_doc_t *doc, size_t i);
/* The kind in words for error messages, e.g. "an integer". */
const char *toml_kind_name(toml_kind_t kind);

#ifdef __cplusplus
}
#endif
#endif
