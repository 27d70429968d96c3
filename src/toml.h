/*
 * toml.h - TOML files as a flat list of values with line numbers, over toml++.
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

/* One value. Strings live as long as the document. */
typedef struct toml_item {
	str_t section;	      /* dotted path of the table; empty at the top */
	uint32_t table_index; /* 1-based place in an array of tables; else 0 */
	str_t key;
	uint32_t
		element_index; /* 1-based place in an array of values; else 0 */
	toml_kind_t kind;
	str_t string;
	int64_t integer;
	double number; /* TOML_INTEGER too */
	bool boolean;
	uint32_t line; /* 1-based */
} toml_item_t;

typedef struct toml_doc toml_doc_t;

/*
 * Parses text; name stands in error messages. NULL, and one line
 * "name:line: ..." appended to errors, where it is not TOML.
 */
toml_doc_t *toml_parse(str_t text, str_t name, buf_t *errors);
/* As toml_parse(), for a file. */
toml_doc_t *toml_parse_file(const char *path, buf_t *errors);
void toml_free(toml_doc_t *doc);
size_t toml_item_count(const toml_doc_t *doc);
/* Items in ascending order of line within each table; i < count. */
const toml_item_t *toml_item_at(const toml_doc_t *doc, size_t i);
const char *toml_kind_name(toml_kind_t kind);

#ifdef __cplusplus
}
#endif
#endif
