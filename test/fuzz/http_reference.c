#include "http_reference.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct cursor {
	const char *text;
	gsize len;
	gsize at;
};

void http_reference_free(struct http_reference_message *message)
{
	if (!message)
		return;
	g_free(message->start);
	g_ptr_array_free(message->headers, TRUE);
	g_string_free(message->body, TRUE);
	g_free(message);
}

char *http_reference_header(const char *name, const char *value)
{
	g_autofree char *lower = g_ascii_strdown(name, -1);
	GString *out = g_string_new(lower);
	bool blank = false;

	g_string_append_c(out, ':');
	for (; *value; value++) {
		if (*value == ' ' || *value == '\t') {
			blank = true;
			continue;
		}
		if (blank || out->str[out->len - 1] == ':')
			g_string_append_c(out, ' ');
		g_string_append_c(out, *value);
		blank = false;
	}
	return g_string_free(out, FALSE);
}

/* Reads a line without its end.
 * @param any whether a NUL may be in it; what follows it is left out
 * @return NULL when it is not whole or has a NUL or CR in it */
static char *read_line(struct cursor *c, bool any)
{
	const char *begin = c->text + c->at;
	const char *feed = memchr(begin, '\n', c->len - c->at);
	gsize len;

	if (!feed)
		return NULL;
	len = (gsize)(feed - begin);
	c->at += len + 1;
	if (len > 0 && begin[len - 1] == '\r')
		len--;
	if ((!any && memchr(begin, '\0', len)) || memchr(begin, '\r', len))
		return NULL;
	return g_strndup(begin, len);
}

static bool is_token(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++) {
		if (!g_ascii_isalnum(*text) && !strchr("!#$%&'*+-.^_`|~", *text))
			return false;
	}
	return true;
}

static bool read_headers(struct cursor *c, GPtrArray *headers)
{
	for (;;) {
		g_autofree char *line = read_line(c, false);
		char *colon;

		if (!line)
			return false;
		if (!*line)
			return true;
		if (*line == ' ' || *line == '\t') {
			g_autofree char *last = NULL;
			g_autofree char *joined = NULL;
			char *value;

			if (headers->len == 0)
				return false;
			last = g_ptr_array_steal_index(headers, headers->len - 1);
			joined = g_strconcat(last, " ", line, NULL);
			value = strchr(joined, ':');
			*value = '\0';
			g_ptr_array_add(headers, http_reference_header(joined, value + 1));
			continue;
		}
		colon = strchr(line, ':');
		if (!colon)
			return false;
		*colon = '\0';
		if (!is_token(line))
			return false;
		g_ptr_array_add(headers, http_reference_header(line, colon + 1));
	}
}

/* Counts the headers with a name. @param value set to that of the last one */
static uint32_t find_headers(const GPtrArray *headers, const char *name, const char **value)
{
	uint32_t count = 0;

	for (guint i = 0; i < headers->len; i++) {
		const char *header = headers->pdata[i];

		if (!g_str_has_prefix(header, name) || header[strlen(name)] != ':')
			continue;
		*value = header + strlen(name) + 1;
		*value += **value == ' ';
		count++;
	}
	return count;
}

static bool read_bytes(struct cursor *c, guint64 count, GString *body)
{
	if (count > c->len - c->at)
		return false;
	g_string_append_len(body, c->text + c->at, (gssize)count);
	c->at += count;
	return true;
}

/* Reads the size of a chunk. An extension behind it is dropped. */
static bool read_chunk_size(struct cursor *c, guint64 *size)
{
	const char *begin = c->text + c->at;
	const char *end = memchr(begin, '\r', c->len - c->at);
	const char *rest;
	gsize digits = 0;

	if (!end || (gsize)(end - c->text) + 1 >= c->len || end[1] != '\n')
		return false;
	while (begin + digits < end && g_ascii_isxdigit(begin[digits]))
		digits++;
	if (digits == 0 || digits > 15 + strspn(begin, "0"))
		return false;
	for (rest = begin + digits; rest < end && (*rest == ' ' || *rest == '\t'); rest++)
		;
	if (rest < end && *rest != ';')
		return false;
	for (; rest < end; rest++) {
		if (g_ascii_iscntrl(*rest) && *rest != '\t')
			return false;
	}
	*size = g_ascii_strtoull(begin, NULL, 16);
	c->at = (gsize)(end - c->text) + 2;
	return true;
}

static bool read_chunks(struct cursor *c, GString *body)
{
	guint64 size;

	while (read_chunk_size(c, &size)) {
		if (size == 0) {
			g_autoptr(GPtrArray) trailers = g_ptr_array_new_with_free_func(g_free);

			return read_headers(c, trailers);
		}
		if (!read_bytes(c, size, body) || c->len - c->at < 2 ||
		    memcmp(c->text + c->at, "\r\n", 2) != 0)
			return false;
		c->at += 2;
	}
	return false;
}

static bool read_body(struct cursor *c, struct http_reference_message *message, bool has_codings)
{
	const char *length = NULL;
	const char *coding = NULL;
	uint32_t lengths = find_headers(message->headers, "content-length", &length);
	uint32_t codings = find_headers(message->headers, "transfer-encoding", &coding);

	if (lengths + codings == 0)
		return true;
	if (lengths + codings > 1)
		return false;
	if (codings == 1)
		return has_codings && g_ascii_strcasecmp(coding, "chunked") == 0 &&
		       read_chunks(c, message->body);
	if (!*length || strlen(length) > 18 + strspn(length, "0") ||
	    length[strspn(length, "0123456789")])
		return false;
	return read_bytes(c, g_ascii_strtoull(length, NULL, 10), message->body);
}

/* Reads "HTTP/1.x". @param is_1_1 set to whether codings are known: not with HTTP/1.0 */
static bool read_version(const char *word, bool *is_1_1)
{
	*is_1_1 = strcmp(word, "HTTP/1.0") != 0;
	return g_str_has_prefix(word, "HTTP/1.") && strlen(word) == strlen("HTTP/1.x") &&
	       g_ascii_isdigit(word[strlen("HTTP/1.")]);
}

/* Reads "METHOD target HTTP/1.x". @return NULL when it is not valid */
static char *read_request_line(const char *line, bool *is_1_1)
{
	g_autofree char *blanks = g_strdup(line);
	g_auto(GStrv) parts = NULL;
	g_autoptr(GPtrArray) words = g_ptr_array_new();

	parts = g_strsplit(blanks, " ", -1);
	for (uint32_t i = 0; parts[i]; i++) {
		if (*parts[i])
			g_ptr_array_add(words, parts[i]);
	}
	if (words->len != 3 || !is_token(words->pdata[0]))
		return NULL;
	if (!read_version(words->pdata[2], is_1_1))
		return NULL;
	return g_strconcat(words->pdata[0], " ", words->pdata[1], NULL);
}

/* Reads "HTTP/1.x 200 reason". @return NULL when it is not valid */
static char *read_status_line(const char *line, bool *is_1_1)
{
	const char *status = line + strlen("HTTP/1.x");
	g_autofree char *version = g_strndup(line, strlen("HTTP/1.x"));

	if (!read_version(version, is_1_1) || *status != ' ')
		return NULL;
	status += strspn(status, " ");
	if (strspn(status, "0123456789") != 3 || (status[3] && status[3] != ' '))
		return NULL;
	return g_strndup(status, 3);
}

struct http_reference_message *http_reference_parse(const char *text, gsize len, gsize offset,
						    bool is_response)
{
	struct http_reference_message *message = g_new0(struct http_reference_message, 1);
	struct cursor c = { text, len, offset };
	bool is_1_1 = false;
	bool valid = false;

	message->headers = g_ptr_array_new_with_free_func(g_free);
	message->body = g_string_new(NULL);
	for (;;) {
		/* a reason may have any bytes, and is dropped */
		g_autofree char *line = read_line(&c, is_response);

		if (line && !*line)
			continue;
		if (line)
			message->start = is_response ? read_status_line(line, &is_1_1)
						     : read_request_line(line, &is_1_1);
		break;
	}
	valid = message->start && read_headers(&c, message->headers);
	if (valid &&
	    !(is_response && (*message->start == '1' || strcmp(message->start, "204") == 0 ||
			      strcmp(message->start, "304") == 0)))
		valid = read_body(&c, message, is_1_1);
	message->end = c.at;
	if (valid)
		return message;
	http_reference_free(message);
	return NULL;
}

void http_reference_check_headers(const GPtrArray *headers, const GPtrArray *all)
{
	guint at = 0;

	for (guint i = 0; i < headers->len; i++, at++) {
		while (at < all->len && strcmp(all->pdata[at], headers->pdata[i]) != 0)
			at++;
		if (at == all->len)
			http_reference_fail("'%s' is no header of the message",
					    (char *)headers->pdata[i]);
	}
}

void http_reference_fail(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	abort();
}
